//! A machine is added while the store comes back from a copy; a key was taken away before.

use crate::{
    engine::{Engine, Handler, answer},
    gateway::{Gateway, Net},
    record::Record,
    site::{Load, announce, config, record_runs, record_sent, unix_ms},
    store::{Outage, Store},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

const REVOKE: Duration = Duration::from_secs(5);
const HEARTBEAT: Duration = Duration::from_millis(1200);
const TICK: Duration = Duration::from_millis(100);
/// Time after the store's return within which the operator writes the configuration again.
const REWRITE: Duration = Duration::from_millis(1500);

/// Returns whether the rule held.
pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Result<bool, String> {
    let net = Net::find();
    let store = Store::spawn();
    let keys = ["key-north", "key-taken"];
    store.put("op", "config", &config(1, &keys, false));
    let handler: Handler = Arc::new(|engine, request, stream| {
        sleep(Duration::from_millis(10));
        answer(
            engine,
            stream,
            request,
            200,
            "Response-Seal: seal\r\n",
            "booked",
        )
    });
    let born = unix_ms();
    let engines: Vec<Engine> = ["i-desk-1", "i-desk-2", "i-desk-3"]
        .iter()
        .map(|id| Engine::spawn(&net.ip(31), id, "v1", Arc::clone(&handler)))
        .collect();
    let beat = || {
        for engine in &engines {
            announce(&store, engine, "ready", born);
        }
    };
    let wait = |time: Duration| {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            beat();
            sleep(left.min(HEARTBEAT));
        }
    };
    beat();
    let routers: Vec<Gateway> = (1..=3)
        .map(|host| Gateway::start(directory, &net, host, &store))
        .collect();
    for router in &routers {
        router.wait_until_ready()?;
    }
    let mut load = Load::new();
    for router in &routers {
        let callers = (router.name.as_str(), router.callers);
        let limit = Duration::from_secs(1);
        load.add(
            callers,
            2,
            15.0,
            ("POST", "/order/part"),
            "key-north",
            limit,
        );
        load.add(
            callers,
            2,
            15.0,
            ("POST", "/order/part"),
            "key-taken",
            limit,
        );
    }
    wait(Duration::from_secs(6));
    let copy = store.copy();
    record.say("a copy of the store is made");
    wait(Duration::from_millis(100));
    store.put("op", "config", &config(2, &keys[..1], false));
    let revoked_at = Instant::now();
    record.say("version 2 takes key-taken away; the store has accepted it");
    wait(Duration::from_millis(4600));
    if has_trouble {
        store.set_outage(Some(Outage::Reset));
        record.say("the store is away");
    }
    sleep(Duration::from_millis(300));
    let added = Gateway::start(directory, &net, 4, &store);
    record.say("edge-4 is added and started");
    sleep(Duration::from_millis(300));
    if has_trouble {
        store.restore(&copy);
        store.set_outage(None);
        record.say(format!(
            "the store is back from the copy, which is {:.1} s old",
            revoked_at.elapsed().as_secs_f64() + 0.1
        ));
    }
    let back_at = Instant::now();
    let mut is_rewritten = !has_trouble;
    let mut is_in_rotation = false;
    for tick in 0..60_u32 {
        sleep(
            TICK.saturating_mul(tick + 1)
                .saturating_sub(back_at.elapsed()),
        );
        if tick % 12 == 0 {
            beat();
        }
        if !is_rewritten && back_at.elapsed() >= REWRITE {
            store.put("op", "config", &config(2, &keys[..1], false));
            record.say("the operator has written version 2 again");
            is_rewritten = true;
        }
        // Each second the platform asks whether the added router is ready.
        if tick % 10 == 6 && !is_in_rotation && added.is_ready() {
            is_in_rotation = true;
            record.say("edge-4 is ready and gets consumers");
            let callers = (added.name.as_str(), added.callers);
            let limit = Duration::from_secs(1);
            let kind = ("POST", "/order/part");
            load.add(callers, 2, 15.0, kind, "key-north", limit);
            load.add(callers, 2, 15.0, kind, "key-taken", limit);
        }
    }
    let sent = load.stop();
    record_sent(record, &sent);
    record_runs(record, &engines);
    drop(routers);
    drop(added);

    let by_id: HashMap<&str, _> = sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let mut late: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
    let runs: Vec<_> = engines.iter().flat_map(Engine::runs).collect();
    for run in &runs {
        if let Some(sent) = by_id.get(run.id())
            && sent.key == "key-taken"
            && sent.at > revoked_at + REVOKE
        {
            let after = (sent.at - revoked_at).as_secs_f64();
            late.entry(&sent.router).or_default().push(after);
        }
    }
    for (router, times) in &late {
        let first = times.iter().copied().fold(f64::MAX, f64::min);
        let last = times.iter().copied().fold(0.0, f64::max);
        record.say(format!(
            "{router}: {} orders with key-taken ran, sent {first:.2} to {last:.2} s after it was taken away",
            times.len()
        ));
    }
    if late.is_empty() {
        record.say(
            "no order with key-taken ran that was sent later than 5 s after it was taken away",
        );
    }
    Ok(late.is_empty())
}
