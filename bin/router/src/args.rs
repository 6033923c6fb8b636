//! Command-line arguments of the router.

use {argh::FromArgs, std::path::PathBuf};

/// Routes callers' requests to backend servers, fairly between workspaces.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings file
    #[argh(option, default = "PathBuf::from(\"/etc/baobablug/router.ini\")")]
    pub conf: PathBuf,

    /// check the settings and exit
    #[argh(switch)]
    pub check: bool,

    /// print the version and exit
    #[argh(switch)]
    pub version: bool,
}
