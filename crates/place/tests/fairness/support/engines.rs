//! Engines of one service, as a router knows them.

use {
    baobab_place::{Peers, Placer, Registry, Server, Tuning},
    std::time::Duration,
};

/// Name of the service.
pub const SERVICE: &str = "assistant";

/// Returns the placer of a router that knows this many engines.
pub fn placer(engines: u32, slots: u32) -> Placer {
    let mut registry = Registry::new(Duration::from_secs(2));
    let server = |key: u32| Server {
        id: format!("engine-{key}"),
        key,
        service: SERVICE.to_owned(),
        software_version: "v1".to_owned(),
        address: ([10, 0, 0, 1], 8000).into(),
        domain: "north".to_owned(),
        slots,
        is_leaving: false,
        warm_up: Duration::ZERO,
        started_unix_ms: None,
    };
    registry.replace((1..=engines).map(server).collect(), Duration::ZERO);
    Placer::new(
        registry,
        Peers::new(Duration::from_secs(5)),
        Tuning::default(),
    )
}
