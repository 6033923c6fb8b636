//! A server is upgraded in place while streams run on it; their callers take them up at another router.

use crate::{
    engine::Engine,
    gateway::{Gateway, Net},
    http::Answer,
    record::Record,
    site::{announce, config, new_id, record_runs, record_sent, send_as, unix_ms},
    store::Store,
    streams::{last_event, stream_handler},
};
use std::{
    collections::BTreeSet,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

const STREAMS: usize = 16;
const EVENTS: u64 = 60;
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Time for which the server is down.
const DOWN: Duration = Duration::from_millis(500);
const LIMIT: Duration = Duration::from_secs(15);
/// Streams that may hold events of two versions.
const TOLERANCE: usize = 2;

fn versions(answers: &[Answer]) -> BTreeSet<String> {
    let bodies = answers
        .iter()
        .map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    bodies
        .flat_map(|body| {
            let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
            let names = lines.filter_map(|data| data.split(' ').next());
            names.map(str::to_owned).collect::<Vec<_>>()
        })
        .collect()
}

/// Returns whether the rule held.
pub fn run(record: &Record, directory: &str, has_trouble: bool) -> Result<bool, String> {
    let net = Net::find();
    let store = Store::spawn();
    store.put("op", "config", &config(1, &["key-north"], false));
    let handler = stream_handler(EVENTS);
    let engines: Vec<Engine> = [("i-desk-1", "v1"), ("i-desk-2", "v2")]
        .iter()
        .map(|(id, version)| Engine::spawn(&net.ip(31), id, version, Arc::clone(&handler)))
        .collect();
    let (upgraded, other) = (&engines[0], &engines[1]);
    let born = unix_ms();
    announce(&store, upgraded, "ready", born);
    sleep(Duration::from_millis(50));
    announce(&store, other, "ready", born);
    let routers: Vec<Gateway> = (1..=3)
        .map(|host| Gateway::start(directory, &net, host, &store))
        .collect();
    for router in &routers {
        router.wait_until_ready()?;
    }
    for _ in 0..3 {
        announce(&store, upgraded, "ready", born);
        announce(&store, other, "ready", born);
        sleep(HEARTBEAT);
    }
    record.say("streams begin at edge-1");
    let callers: Vec<_> = (0..STREAMS)
        .map(|_| {
            let targets: Vec<_> = routers
                .iter()
                .map(|router| (router.name.clone(), router.callers))
                .collect();
            thread::spawn(move || {
                let first = new_id();
                let deadline = Instant::now() + LIMIT;
                let mut sent = Vec::new();
                let mut seen = 0;
                for (name, address) in &targets {
                    let id = if sent.is_empty() {
                        first.clone()
                    } else {
                        new_id()
                    };
                    let after = seen.to_string();
                    let taken_up = [
                        ("Resumes", first.as_str()),
                        ("Last-Event-Id", after.as_str()),
                    ];
                    let extra: &[(&str, &str)] = if sent.is_empty() { &[] } else { &taken_up };
                    let body: &[u8] = b"{}";
                    let result = send_as(
                        &id,
                        (name, *address),
                        "POST",
                        "/query/pump",
                        "key-north",
                        extra,
                        body,
                        deadline.saturating_duration_since(Instant::now()),
                    );
                    seen = last_event(&result.answer.body)
                        .filter(|_| result.answer.status == 200)
                        .unwrap_or(seen);
                    let is_over = result.answer.is_complete && result.answer.status == 200;
                    sent.push(result);
                    if is_over {
                        break;
                    }
                }
                sent
            })
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        sleep(HEARTBEAT.min(until.saturating_duration_since(Instant::now())));
        announce(&store, upgraded, "ready", born);
        announce(&store, other, "ready", born);
    }
    if has_trouble {
        record.say(format!("{} ends, to be upgraded in place", upgraded.id()));
        upgraded.end();
        sleep(DOWN);
        upgraded.start_again("v2");
        record.say(format!(
            "{} has started again under its id, as v2",
            upgraded.id()
        ));
        let born_again = unix_ms();
        sleep(HEARTBEAT);
        announce(&store, upgraded, "ready", born_again);
        record.say(format!(
            "{} has announced itself as v2, at its first heartbeat",
            upgraded.id()
        ));
    }
    let mut joined = 0;
    for caller in callers {
        let sent = caller
            .join()
            .map_err(|_| "a caller has failed".to_owned())?;
        record_sent(record, &sent);
        let streams: Vec<Answer> = sent
            .iter()
            .map(|sent| sent.answer.clone())
            .filter(|answer| answer.status == 200)
            .collect();
        let names = versions(&streams);
        let routers: Vec<&str> = sent.iter().map(|sent| sent.router.as_str()).collect();
        record.say(format!(
            "stream {} over {routers:?} has pieces of {names:?}",
            sent[0].id
        ));
        joined += usize::from(names.len() > 1);
    }
    record_runs(record, &engines);
    record.say(format!(
        "{joined} streams hold pieces of two versions, {TOLERANCE} are allowed"
    ));
    Ok(joined <= TOLERANCE)
}
