//! Command-line arguments of `baobab-standin`.

use {
    argh::FromArgs,
    std::{net::SocketAddr, path::PathBuf},
};

/// Stand-ins for the platform, engines, services and links, to try the routers on.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// print the version and exit
    #[argh(switch)]
    pub version: bool,

    #[argh(subcommand)]
    pub command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    Link(LinkArgs),
    Layout(LayoutArgs),
}

/// Runs the platform: table, object store and host list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// address
    #[argh(option)]
    pub address: SocketAddr,
}

/// Runs model engines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// settings file with a section for each engine
    #[argh(option)]
    pub conf: PathBuf,
}

/// Runs a replica of a plain service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub struct ServiceArgs {
    /// address
    #[argh(option)]
    pub address: SocketAddr,

    /// time that each call takes, in milliseconds
    #[argh(option, default = "20")]
    pub latency_ms: u64,
}

/// Relays UDP and TCP with delay, loss and cuts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "link")]
pub struct LinkArgs {
    /// settings file with a section for each route
    #[argh(option)]
    pub conf: PathBuf,
}

/// Writes the settings and declarations of a whole site on loopback.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "layout")]
pub struct LayoutArgs {
    /// site: caroni or cascadia
    #[argh(option)]
    pub site: String,

    /// directory to write to
    #[argh(option)]
    pub directory: PathBuf,

    /// how slots are given: grants or shares
    #[argh(option, default = "String::from(\"grants\")")]
    pub dispatch: String,

    /// number of routers; other than 6 they reach each other directly
    #[argh(option, default = "6")]
    pub routers: usize,

    /// slots of each engine
    #[argh(option, default = "12")]
    pub slots: u32,

    /// datagrams lost between failure domains, in percent
    #[argh(option, default = "2")]
    pub loss_percent: u32,
}
