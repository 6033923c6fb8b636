//! Long streams at a router that is stopped as planned, and taken up again at others by their callers.

use crate::{
    engine::{Handler, answer, begin_stream, write_chunk},
    gateway::Gateway,
    record::Record,
    site::{Sent, new_id, record_sent, send_as},
};
use std::{
    net::SocketAddr,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

const STREAMS: usize = 20;
/// New streams that begin while the others are taken up again.
const NEW_STREAMS: usize = 10;
const PAUSE: Duration = Duration::from_millis(100);
/// How long a lookup takes.
const LOOKUP: Duration = Duration::from_millis(60);
/// Time budget of a stream, and that of a new one, which is only to begin.
const LIMIT: Duration = Duration::from_secs(15);
const NEW_LIMIT: Duration = Duration::from_millis(1500);
/// Fewer streams that are taken up again are not judged.
const MIN_TAKEN_UP: usize = 12;

type Router = (String, SocketAddr);

/// Returns the number of the last whole event of an answer.
pub fn last_event(body: &[u8]) -> Option<u64> {
    let body = String::from_utf8_lossy(body);
    let whole = &body[..body.rfind("\n\n")? + 1];
    let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.last()?.parse().ok()
}

/// Streams events from the one after `Last-Event-Id` on, which name the server's version. Answers lookups
/// with a body.
pub fn stream_handler(events: u64) -> Handler {
    Arc::new(move |engine, request, stream| {
        if request.target.starts_with("/lookup/") {
            sleep(LOOKUP);
            return answer(
                engine,
                stream,
                request,
                200,
                "Response-Seal: seal\r\n",
                "ticket",
            );
        }
        let version = engine.version();
        begin_stream(engine, stream, request)?;
        let after = request
            .header("Last-Event-Id")
            .and_then(|id| id.parse().ok());
        for id in after.unwrap_or(0) + 1..=events {
            sleep(PAUSE);
            write_chunk(stream, &format!("id: {id}\ndata: {version} piece {id}\n\n"))?;
        }
        write_chunk(stream, "")
    })
}

/// Sends a request for a stream, which takes one up after an event if that is given.
pub fn stream(id: &str, router: &Router, taken_up: Option<(&str, u64)>, limit: Duration) -> Sent {
    let after = taken_up.map_or(0, |(_, after)| after).to_string();
    let first = taken_up.map_or("", |(first, _)| first);
    let headers = [("Resumes", first), ("Last-Event-Id", after.as_str())];
    let extra: &[(&str, &str)] = if taken_up.is_some() { &headers } else { &[] };
    let target = (router.0.as_str(), router.1);
    send_as(
        id,
        target,
        "POST",
        "/query/pump",
        "key-north",
        extra,
        b"{}",
        limit,
    )
}

/// Runs a stream at one router. Takes it up once at another if it breaks off.
fn stream_and_take_up(begin_at: &Router, target: &Router) -> Vec<Sent> {
    let deadline = Instant::now() + LIMIT;
    let id = new_id();
    let begun = stream(&id, begin_at, None, LIMIT);
    let seen = last_event(&begun.answer.body).unwrap_or(0);
    let mut sent = vec![begun];
    if !sent[0].answer.is_complete && seen > 0 {
        let left = deadline.saturating_duration_since(Instant::now());
        sent.push(stream(&new_id(), target, Some((&id, seen)), left));
    }
    sent
}

/// Begins long streams at `first`, stops it as planned, and lets the callers take their streams up at the
/// `others`. Returns whether LOST held: the share that goes on against that of new streams that begin.
pub fn stop_and_take_up(
    record: &Record,
    mut first: Gateway,
    others: &[Gateway],
) -> Result<bool, String> {
    let failed = |_| "a thread has failed".to_owned();
    let begin_at = (first.name.clone(), first.callers);
    let target_of = |number: usize| -> Router {
        let router = &others[number % others.len()];
        (router.name.clone(), router.callers)
    };
    record.say(format!("{STREAMS} streams begin at {}", first.name));
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (begin_at, target) = (begin_at.clone(), target_of(number));
            thread::spawn(move || stream_and_take_up(&begin_at, &target))
        })
        .collect();
    sleep(Duration::from_secs(2));
    record.say(format!("{} is told to stop, as planned", first.name));
    first.stop();
    record.say(format!("{} has stopped", first.name));
    let new_callers: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            let target = target_of(number);
            thread::spawn(move || stream(&new_id(), &target, None, NEW_LIMIT))
        })
        .collect();
    let mut new = Vec::new();
    for caller in new_callers {
        new.push(caller.join().map_err(failed)?);
    }
    let mut taken_up = Vec::new();
    for caller in callers {
        let sent = caller.join().map_err(failed)?;
        record_sent(record, &sent);
        taken_up.extend(sent.into_iter().nth(1));
    }
    record_sent(record, &new);
    for sent in &taken_up {
        let body = String::from_utf8_lossy(&sent.answer.body).into_owned();
        let last: String = body.lines().rev().take(2).collect::<Vec<_>>().join(" ");
        record.add(format!(
            "{} took a stream up at {}: status {}, {last}",
            sent.id, sent.router, sent.answer.status
        ));
    }
    let is_served =
        |sent: &&Sent| sent.answer.status == 200 && last_event(&sent.answer.body).is_some();
    let went_on = taken_up.iter().filter(is_served).count();
    let begun = new.iter().filter(is_served).count();
    record.say(format!(
        "{went_on} of {} streams that were taken up again went on; {begun} of {} new streams began",
        taken_up.len(),
        new.len()
    ));
    if taken_up.len() < MIN_TAKEN_UP || begun == 0 {
        return Err("too few streams were taken up, or no new one began".to_owned());
    }
    Ok(2 * went_on * new.len() >= begun * taken_up.len())
}
