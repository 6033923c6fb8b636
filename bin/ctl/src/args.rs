//! Command line arguments.

use {
    argh::FromArgs,
    std::{net::SocketAddr, path::PathBuf},
};

/// Checks, applies and shows the fleet's declarations, and verifies its audit records.
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
    Check(CheckArgs),
    Diff(DiffArgs),
    Apply(ApplyArgs),
    Show(ShowArgs),
    Status(StatusArgs),
    Audit(AuditArgs),
    Explain(ExplainArgs),
}

/// Checks a declarations file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// declarations file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Shows what applying a file would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffArgs {
    /// declarations file
    #[argh(positional)]
    pub file: PathBuf,

    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
}

/// Applies a declarations file as a whole.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyArgs {
    /// declarations file
    #[argh(positional)]
    pub file: PathBuf,

    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,

    /// version that must be in force; the one read at the start by default
    #[argh(option)]
    pub expect: Option<u64>,

    /// name that stands in the head row
    #[argh(option, default = "String::from(\"operator\")")]
    pub by: String,
}

/// Prints the declarations in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowArgs {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,
}

/// Prints the status of routers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusArgs {
    /// operators' addresses of the routers
    #[argh(positional)]
    pub routers: Vec<SocketAddr>,
}

/// Verifies the audit records and prints what they say of a request.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct AuditArgs {
    /// the platform's address
    #[argh(option)]
    pub platform: SocketAddr,

    /// settings file of a router, for the fleet's key
    #[argh(option)]
    pub conf: PathBuf,

    /// host whose records to verify; all by default
    #[argh(option, default = "String::new()")]
    pub host: String,

    /// request to explain
    #[argh(option)]
    pub request: Option<String>,
}

/// Tells a request's way from the logs of routers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// identity of the request
    #[argh(positional)]
    pub id: String,

    /// log files of the routers
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}
