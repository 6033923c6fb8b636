//! Starts the stand-in named on the command line.

use {
    crate::args::{Args, Command, EngineArgs, LayoutArgs, LinkArgs, ServiceArgs},
    baobab_standin::{
        engine::{EngineServer, parse_engines},
        link::{parse_links, spawn_admin, spawn_link},
        platform::PlatformServer,
        service::ServiceServer,
        site::{Layout, LayoutOptions, site_by_name, write_site},
    },
    std::{error::Error, path::Path, thread, time::Duration},
};

type CliResult<T> = Result<T, Box<dyn Error>>;

/// Runs the stand-in until the process is killed; `layout` returns once its files are written.
pub fn run() -> CliResult<()> {
    let args: Args = argh::from_env();
    if args.version {
        println!("baobab-standin {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    baobab_unit::start_logs();
    match args.command {
        None => Err("no command given; see --help".into()),
        Some(Command::Layout(args)) => write_layout(&args),
        Some(Command::Platform(args)) => {
            let server = PlatformServer::spawn(args.address)?;
            serve_forever(&server)
        }
        Some(Command::Engine(args)) => run_engines(&args),
        Some(Command::Service(args)) => run_service(&args),
        Some(Command::Link(args)) => run_link(&args),
    }
}

fn run_engines(args: &EngineArgs) -> CliResult<()> {
    let confs = parse_engines(&args.conf.display().to_string(), &read_file(&args.conf)?)?;
    let servers: Result<Vec<EngineServer>, _> =
        confs.into_iter().map(EngineServer::spawn).collect();
    serve_forever(&servers?)
}

fn run_service(args: &ServiceArgs) -> CliResult<()> {
    let latency = Duration::from_millis(args.latency_ms);
    let server = ServiceServer::spawn(args.address, latency)?;
    serve_forever(&server)
}

fn run_link(args: &LinkArgs) -> CliResult<()> {
    let conf = parse_links(&args.conf.display().to_string(), &read_file(&args.conf)?)?;
    let state = spawn_link(&conf)?;
    spawn_admin(conf.admin_address, state)?;
    serve_forever(&())
}

fn write_layout(args: &LayoutArgs) -> CliResult<()> {
    let site = site_by_name(&args.site).ok_or_else(|| format!("unknown site '{}'", args.site))?;
    let options = LayoutOptions {
        dispatch: args.dispatch.clone(),
        loss_percent: args.loss_percent,
        slots: args.slots,
        ..LayoutOptions::default()
    };
    Ok(write_site(
        &Layout::with_routers(site, args.routers),
        &options,
        &args.directory,
    )?)
}

/// Blocks forever, which keeps the servers running.
fn serve_forever<T>(_running: &T) -> ! {
    loop {
        thread::park();
    }
}

fn read_file(path: &Path) -> CliResult<String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()).into())
}
