//! Servers close channels that have rested for half a second.

use crate::{
    engine::Engine,
    gateway::{Gateway, Net},
    record::Record,
    site::{Heartbeats, Load, config, record_runs, record_sent, unix_ms},
    store::Store,
    streams::{stop_and_take_up, stream_handler},
};
use std::{sync::Arc, thread::sleep, time::Duration};

const ROUTERS: usize = 3;
const EVENTS: u64 = 140;
/// Idle time after which servers close a channel: usual, and in trouble.
const IDLE: (Duration, Duration) = (Duration::from_secs(30), Duration::from_millis(500));
/// Lookups that come at once to each router, each second.
const LOOKUPS: usize = 6;

/// Returns whether the rule held.
pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Result<bool, String> {
    let net = Net::find();
    let store = Store::spawn();
    store.put("op", "config", &config(1, &["key-north"], false));
    let idle = if has_trouble { IDLE.1 } else { IDLE.0 };
    record.say(format!("servers close idle channels after {idle:?}"));
    let handler = stream_handler(EVENTS);
    let engines: Vec<Engine> = ["i-desk-1", "i-desk-2", "i-desk-3"]
        .iter()
        .map(|id| {
            let handler = Arc::clone(&handler);
            Engine::spawn_with_idle_timeout(&net.ip(31), id, "v1", idle, handler)
        })
        .collect();
    let heartbeats = Heartbeats::start(&store, &engines, unix_ms());
    let mut routers: Vec<Gateway> = (1..=ROUTERS)
        .map(|host| Gateway::start(directory, &net, host, &store))
        .collect();
    for router in &routers {
        router.wait_until_ready()?;
    }
    // The lookups that come at once make each router use all servers.
    let mut load = Load::new();
    for router in &routers {
        let callers = (router.name.as_str(), router.callers);
        for _ in 0..LOOKUPS {
            let limit = Duration::from_secs(1);
            let kind = ("GET", "/lookup/ticket");
            load.add(callers, 1, 1.0, kind, "key-north", limit);
        }
    }
    sleep(Duration::from_secs(6));
    let first = routers.remove(0);
    let result = stop_and_take_up(record, first, &routers);
    record_sent(record, &load.stop());
    record_runs(record, &engines);
    drop(heartbeats);
    result
}
