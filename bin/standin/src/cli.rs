//! Starts the stand-in that was asked for.

use {
    crate::args::{Args, Command, EngineArgs, LayoutArgs, LinkArgs, ServiceArgs},
    baobab_standin::{
        engine::{EngineServer, parse_engines},
        link::{parse_links, spawn_admin, spawn_link},
        platform::PlatformServer,
        service::ServiceServer,
        site::{Layout, Options, site, write_site},
    },
    std::{error::Error, path::Path, thread, time::Duration},
};

type Outcome<T> = Result<T, Box<dyn Error>>;

/// Runs the stand-in until the process is ended.
pub fn run() -> Outcome<()> {
    let args: Args = argh::from_env();
    if args.version {
        println!("baobab-standin {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    baobab_unit::start_logs();
    match args.command {
        None => Err("no stand-in was named; see --help".into()),
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

fn run_engines(args: &EngineArgs) -> Outcome<()> {
    let confs = parse_engines(&args.conf.display().to_string(), &read(&args.conf)?)?;
    let servers: Result<Vec<EngineServer>, _> =
        confs.into_iter().map(EngineServer::spawn).collect();
    serve_forever(&servers?)
}

fn run_service(args: &ServiceArgs) -> Outcome<()> {
    let latency = Duration::from_millis(args.latency_ms);
    let server = ServiceServer::spawn(args.address, latency)?;
    serve_forever(&server)
}

fn run_link(args: &LinkArgs) -> Outcome<()> {
    let conf = parse_links(&args.conf.display().to_string(), &read(&args.conf)?)?;
    let state = spawn_link(&conf)?;
    spawn_admin(conf.admin_address, state)?;
    serve_forever(&())
}

fn write_layout(args: &LayoutArgs) -> Outcome<()> {
    let site = site(&args.site).ok_or_else(|| format!("there is no site '{}'", args.site))?;
    let options = Options {
        dispatch: args.dispatch.clone(),
        loss_percent: args.loss_percent,
        slots: args.slots,
        ..Options::default()
    };
    Ok(write_site(
        &Layout::with_routers(site, args.routers),
        &options,
        &args.directory,
    )?)
}

/// Keeps what runs until the process is ended.
fn serve_forever<T>(_running: &T) -> ! {
    loop {
        thread::park();
    }
}

fn read(path: &Path) -> Outcome<String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()).into())
}
