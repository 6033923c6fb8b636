//! Runs the commands of `baobab-load`.

use {
    crate::args::{Args, Command, GenerateArgs, ReplayArgs, SlopesArgs},
    baobab_load::{
        GenerateOptions, LoadError, ReplayOptions, generate, measure_slopes, read_trace, replay,
        write_slopes, write_trace,
    },
    baobab_standin::site::{Site, site_by_name},
    std::{error::Error, time::Duration},
};

type CliResult = Result<(), Box<dyn Error>>;

/// Parses the arguments and runs the command.
pub fn run() -> CliResult {
    let args: Args = argh::from_env();
    if args.version {
        println!("baobab-load {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    match args.command {
        None => Err("no command given; see --help".into()),
        Some(Command::Generate(args)) => run_generate(&args),
        Some(Command::Replay(args)) => run_replay(&args),
        Some(Command::Slopes(args)) => run_slopes(&args),
    }
}

fn run_generate(args: &GenerateArgs) -> CliResult {
    let options = GenerateOptions {
        seed: args.seed,
        length: Duration::from_secs(args.length_s),
        flood: args.flood,
        ..GenerateOptions::default()
    };
    let events = generate(&find_site(&args.site)?, &options);
    write_trace(&args.out, &events)?;
    println!("{}: {} requests", args.out.display(), events.len());
    Ok(())
}

fn run_replay(args: &ReplayArgs) -> CliResult {
    let events = read_trace(&args.trace)?;
    let options = ReplayOptions {
        routers: args.routers,
        speed: args.speed,
        ..ReplayOptions::default()
    };
    let report = replay(find_site(&args.site)?, &events, &options)?;
    println!("{}", report.to_table());
    if let Some(path) = &args.report {
        std::fs::write(path, serde_json::to_vec_pretty(&report)?)?;
    }
    if report.breaks_promise() {
        return Err("a promise was broken; see the report".into());
    }
    Ok(())
}

fn run_slopes(args: &SlopesArgs) -> CliResult {
    let tables = measure_slopes(&args.reports)?;
    write_slopes(&tables, &args.directory)?;
    Ok(())
}

fn find_site(name: &str) -> Result<Site, LoadError> {
    site_by_name(name).ok_or_else(|| LoadError::UnknownSite(name.to_owned()))
}
