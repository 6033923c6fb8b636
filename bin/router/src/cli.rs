//! Starts the router and stops it on SIGTERM or SIGINT.

use {
    crate::args::Args,
    baobab_conf::load_router_conf,
    baobab_entry::Router,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::error::Error,
};

/// Runs the router until a planned stop is complete.
pub fn run() -> Result<(), Box<dyn Error>> {
    let args: Args = argh::from_env();
    if args.version {
        println!("baobab-router {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let conf = load_router_conf(&args.conf)?;
    if args.check {
        println!("{}: no findings", args.conf.display());
        return Ok(());
    }
    baobab_unit::start_logs();
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let router = Router::spawn(conf)?;
    if let Some(signal) = signals.forever().next() {
        log::info!("received signal {signal}");
    }
    router.drain();
    baobab_unit::flush_logs();
    Ok(())
}
