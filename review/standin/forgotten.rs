//! The store forgets its history while two routers of a fleet of 13 are restarted as planned.

use crate::{
    engine::{Engine, Handler, answer},
    gateway::{Gateway, Net},
    record::Record,
    site::{Heartbeats, Load, config, most_in_window, record_runs, record_sent, unix_ms},
    store::Store,
};
use std::{
    env,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

const ROUTERS: usize = 13;
/// Servers whose owner is edge-1, and after it a router that learns the tables from others, by the
/// hash of the names.
const ENGINES: [&str; 3] = ["i-desk-1", "i-desk-15", "i-desk-24"];
/// Requests a second that each server takes, once it is in need.
const LIMIT_PER_S: f64 = 20.0;
const CONTACT: Duration = Duration::from_secs(3);
const MAX_START_TIME: Duration = Duration::from_secs(5);
const WINDOW: Duration = Duration::from_secs(4);

/// Returns whether the rule held.
pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Result<bool, String> {
    let net = Net::find();
    let store = Store::spawn();
    store.put("op", "config", &config(1, &["key-north"], false));
    let is_in_need = Arc::new(AtomicBool::new(false));
    let need = Arc::clone(&is_in_need);
    let handler: Handler = Arc::new(move |engine, request, stream| {
        sleep(Duration::from_millis(5));
        let limit = if need.load(Ordering::SeqCst) {
            format!("Server-Limit: {LIMIT_PER_S}\r\n")
        } else {
            String::new()
        };
        let headers = format!("Response-Seal: seal\r\nContent-Type: text/event-stream\r\n{limit}");
        let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
        answer(engine, stream, request, 200, &headers, events)
    });
    let names = env::var("ENGINES").unwrap_or_else(|_| ENGINES.join(","));
    let engines: Vec<Engine> = names
        .split(',')
        .map(|id| Engine::spawn(&net.ip(31), id, "v1", Arc::clone(&handler)))
        .collect();
    let heartbeats = Heartbeats::start(&store, &engines, unix_ms());
    let mut routers: Vec<Gateway> = (1..=ROUTERS)
        .map(|host| Gateway::start(directory, &net, host, &store))
        .collect();
    for router in &routers {
        router.wait_until_ready()?;
    }
    // Every router has learnt who the others are and which of them read the store's tables.
    sleep(Duration::from_secs(6));
    record.say("edge-1 and edge-3 are told to stop, as planned");
    let (first, rest) = routers.split_at_mut(1);
    thread::scope(|scope| {
        scope.spawn(|| first[0].stop());
        scope.spawn(|| rest[1].stop());
    });
    record.say("edge-1 and edge-3 have stopped");
    let row_of = |name: &str| store.read("routers", name);
    let wait_for_row = |name: &str, before: Option<String>| {
        let deadline = Instant::now() + MAX_START_TIME;
        while row_of(name) == before && Instant::now() < deadline {
            sleep(Duration::from_millis(5));
        }
    };
    let (row_1, row_3) = (row_of("edge-1"), row_of("edge-3"));
    routers[2].start_again();
    record.say("edge-3 is started again");
    wait_for_row("edge-3", row_3);
    sleep(Duration::from_millis(400));
    routers[0].start_again();
    record.say("edge-1 is started again");
    wait_for_row("edge-1", row_1);
    if has_trouble {
        store.forget_history();
        record.say("edge-1 has written its row; the store forgets its history");
    }
    for router in &routers {
        router.wait_until_ready()?;
    }
    let mut load = Load::new();
    for router in &routers {
        let callers = (router.name.as_str(), router.callers);
        let limit = Duration::from_secs(15);
        load.add(
            callers,
            16,
            60.0,
            ("POST", "/history/pump"),
            "key-north",
            limit,
        );
    }
    sleep(Duration::from_secs(8));
    is_in_need.store(true, Ordering::SeqCst);
    let named_at = Instant::now();
    record.say(format!(
        "each server names its limit: {LIMIT_PER_S} requests a second"
    ));
    sleep(Duration::from_secs(20));
    let sent = load.stop();
    record_sent(record, &sent);
    record_runs(record, &engines);
    drop(heartbeats);
    drop(routers);

    let allowed = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0;
    let mut holds = true;
    for engine in &engines {
        let most = most_in_window(&engine.runs(), named_at + CONTACT, WINDOW);
        record.say(format!(
            "server {}: at most {most} requests in 4 s, {allowed} allowed",
            engine.id()
        ));
        holds &= most as f64 <= allowed;
    }
    Ok(holds)
}
