//! Command-line arguments of `baobab-load`.

use {argh::FromArgs, baobab_load::Flood, std::path::PathBuf};

/// Generates traces and replays them against real routers.
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
    Generate(GenerateArgs),
    Replay(ReplayArgs),
    Slopes(SlopesArgs),
}

/// Generates a trace.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "generate")]
pub struct GenerateArgs {
    /// site: caroni or cascadia
    #[argh(option)]
    pub site: String,

    /// file to write
    #[argh(option)]
    pub out: PathBuf,

    /// seed
    #[argh(option, default = "7")]
    pub seed: u64,

    /// length in seconds
    #[argh(option, default = "24")]
    pub length_s: u64,

    /// flood: none, least or most urgent work
    #[argh(option, default = "Flood::None")]
    pub flood: Flood,
}

/// Replays a trace and reports.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArgs {
    /// site: caroni or cascadia
    #[argh(option)]
    pub site: String,

    /// trace file
    #[argh(option)]
    pub trace: PathBuf,

    /// file for the report as JSON
    #[argh(option)]
    pub report: Option<PathBuf>,

    /// number of routers
    #[argh(option, default = "6")]
    pub routers: usize,

    /// factor by which the waits between arrivals are shortened
    #[argh(option, default = "1.0")]
    pub speed: f64,
}

/// Measures the cost of decisions and messages against size, for docs/capacity/router.md.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct SlopesArgs {
    /// directory for the plots and the tables
    #[argh(option)]
    pub directory: PathBuf,

    /// reports of replays with growing numbers, to be put into tables as well: NAME=FILE,FILE,...
    #[argh(option)]
    pub reports: Vec<String>,
}
