//! The store does a router's first write late, after the router was restarted as planned.

use crate::{
    engine::Engine,
    gateway::{Gateway, Net},
    record::Record,
    site::{Heartbeats, config, record_runs, unix_ms},
    store::{Store, WriteFate},
    streams::{stop_and_take_up, stream_handler},
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

const ROUTERS: usize = 6;
const EVENTS: u64 = 140;
/// Time after which the store does the write that it did not answer.
const LATE: Duration = Duration::from_millis(5700);

/// Returns whether the rule held.
pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Result<bool, String> {
    let net = Net::find();
    let store = Store::spawn();
    store.put("op", "config", &config(1, &["key-north"], false));
    let handler = stream_handler(EVENTS);
    let versions = ["v1", "v1", "v2", "v2"];
    let engines: Vec<Engine> = (1..)
        .zip(versions)
        .map(|(number, version)| {
            let id = format!("i-desk-{number}");
            Engine::spawn(&net.ip(31), &id, version, Arc::clone(&handler))
        })
        .collect();
    let heartbeats = Heartbeats::start(&store, &engines, unix_ms());
    let start = |host| Gateway::start(directory, &net, host, &store);
    let others: Vec<Gateway> = (2..=ROUTERS).map(start).collect();
    sleep(Duration::from_secs(2));
    if has_trouble {
        let is_first = AtomicBool::new(true);
        store.decide_writes(move |transaction| {
            let is_own = transaction
                .list("Write")
                .iter()
                .any(|row| row.text("TableName") == "routers" && row.text("Key") == "edge-1");
            if is_own && is_first.swap(false, Ordering::SeqCst) {
                WriteFate::Late(LATE)
            } else {
                WriteFate::Answered
            }
        });
        record.say("the store will not answer the first write of edge-1, and do it 5.7 s later");
    }
    let mut first = start(1);
    let started_at = Instant::now();
    record.say("edge-1 is started");
    sleep(Duration::from_millis(500));
    record.say("edge-1 is told to stop, as planned");
    first.stop();
    record.say("edge-1 has stopped");
    first.start_again();
    record.say("edge-1 is started again");
    for router in others.iter().chain([&first]) {
        router.wait_until_ready()?;
    }
    let late_left = LATE.saturating_sub(started_at.elapsed());
    sleep(late_left + Duration::from_secs(4));
    let row = store.read("routers", "edge-1").unwrap_or_default();
    record.say(format!("the row of edge-1 in the store: {row}"));
    let result = stop_and_take_up(record, first, &others);
    record_runs(record, &engines);
    drop(heartbeats);
    result
}
