//! Two software versions serve side by side. The store comes back from a copy that is older than the second one, and
//! one of two routers is killed meanwhile. Clients take their streams up again.

mod lab;

use {
    lab::*,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        process::exit,
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

const EVENTS: u64 = 90;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const STREAMS: usize = 12;
/// Age of the copy from which the store comes back, and time for which it is away.
const COPY_AGE: Duration = Duration::from_millis(4000);
const AWAY: Duration = Duration::from_millis(700);
/// Time after the return of the store within which servers have written their entries again.
const REWRITE_TIME: Duration = Duration::from_millis(2000);
/// The rule is broken if more streams than this hold events of two versions.
const ALLOWED: usize = 2;

/// Starts a server that writes its version into each event and goes on after `Last-Event-Id`.
fn stream_server(id: &str, version: &'static str) -> Server {
    let mut server = Server::spawn(id, move |request, stream| {
        let attempt = request.header("attempt-id").to_owned();
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        record(format!(
            "server of {version} runs {attempt} after event {after}"
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Seal: seal.{attempt}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for id in after + 1..=EVENTS {
            let event = format!("id: {id}\ndata: {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            sleep(EVENT_INTERVAL);
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    });
    server.version = version.to_owned();
    server
}

/// What a client has of one answer.
struct Part {
    status: u16,
    /// Ids of the events, with the version in each.
    events: Vec<(u64, String)>,
    is_whole: bool,
}

fn read_part(stream: &mut TcpStream) -> Part {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(length) = stream.read(&mut buffer) {
        bytes.extend_from_slice(&buffer[..length]);
        let is_refused = bytes.len() >= 12 && !bytes.starts_with(b"HTTP/1.1 200");
        if length == 0 || is_refused || bytes.ends_with(b"\r\n0\r\n\r\n") {
            break;
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    let whole_events = text
        .split("id: ")
        .skip(1)
        .filter(|event| event.contains("\n\n"));
    let events = whole_events
        .filter_map(|event| {
            let (id, rest) = event.split_once('\n')?;
            let version = rest.strip_prefix("data: ")?.split('\n').next()?;
            Some((id.parse().ok()?, version.to_owned()))
        })
        .collect();
    Part {
        status: text
            .get(9..12)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0),
        events,
        is_whole: text.ends_with("\r\n0\r\n\r\n"),
    }
}

/// Addresses of the router to which the platform forwards the clients' channels.
#[derive(Clone, Copy)]
struct Addresses {
    callers: SocketAddr,
    health: SocketAddr,
}

fn send(router: SocketAddr, attempt: &str, extra_headers: &str) -> Option<Part> {
    let head = format!(
        "POST /stream/a HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 15000\r\n{extra_headers}Content-Length: 0\r\n\r\n"
    );
    let mut stream = connect(router).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    Some(read_part(&mut stream))
}

/// Begins a stream and takes it up again while it breaks off. Returns the versions of its events.
fn follow_stream(number: usize, router: Addresses) -> Vec<String> {
    let first_attempt = format!("s{number}");
    record(format!("client sends {first_attempt}"));
    let deadline = Instant::now() + Duration::from_secs(14);
    let mut versions: Vec<String> = Vec::new();
    let mut last_event = 0;
    let mut tries = 0;
    while Instant::now() < deadline {
        let (attempt, headers) = match last_event {
            0 => (first_attempt.clone(), String::new()),
            id => (
                format!("{first_attempt}.{tries}"),
                format!("Last-Event-Id: {id}\r\nResumes: {first_attempt}\r\n"),
            ),
        };
        tries += 1;
        // The platform forwards new channels to routers that are ready.
        if last_event > 0 && !is_ready(router.health) {
            sleep(Duration::from_millis(20));
            continue;
        }
        let Some(part) = send(router.callers, &attempt, &headers).filter(|part| part.status == 200)
        else {
            sleep(Duration::from_millis(100));
            continue;
        };
        for (id, version) in part.events {
            if id != last_event + 1 {
                record(format!("{attempt}: event {id} after {last_event}"));
            }
            last_event = id;
            if versions.last() != Some(&version) {
                record(format!("{attempt} brings event {id} of {version}"));
                versions.push(version);
            }
        }
        if part.is_whole {
            break;
        }
        record(format!("{attempt} broke off after event {last_event}"));
    }
    versions
}

fn main() {
    guard();
    open_record();
    let store = Store::spawn();
    let routes = [(
        "/stream/",
        "streaming",
        r#","MaxAttempts":2,"StreamResume":true,"GapAimMs":400"#,
    )];
    store.put(
        "op",
        "config",
        &configuration(1, &routes).replace("\"Anonymous\":false", "\"Anonymous\":true"),
    );
    let old = stream_server("i-old", "v1");
    old.announce(&store, "desk");
    let mut killed = Router::spawn(
        &store,
        &RouterOptions {
            number: 1,
            grace_s: 8,
        },
    );
    let other = Router::spawn(
        &store,
        &RouterOptions {
            number: 2,
            grace_s: 8,
        },
    );
    killed.wait_until_ready();
    other.wait_until_ready();
    sleep(Duration::from_secs(3));
    let copy = store.copy();
    record("the store is copied");
    let copied_at = Instant::now();
    sleep(Duration::from_millis(300));
    let new = stream_server("i-new", "v2");
    new.announce(&store, "desk");
    record("a server of v2 is announced beside that of v1");
    sleep(Duration::from_millis(1500));
    let router = Addresses {
        callers: killed.callers,
        health: killed.health,
    };
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| thread::spawn(move || follow_stream(number, router)))
        .collect();
    sleep(COPY_AGE.saturating_sub(copied_at.elapsed() + AWAY));
    if has_trouble() {
        record("the store goes away; a router is killed");
        store.go_away();
        killed.kill();
        sleep(AWAY);
        record("the store comes back from the copy; the router starts again");
        store.return_from(&copy);
        killed.restart();
        old.announce(&store, "desk");
        sleep(REWRITE_TIME);
        record("the server of v2 has written its entry again");
        new.announce(&store, "desk");
    }
    let results: Vec<Vec<String>> = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .collect();
    killed.end();
    other.end();
    let mixed = results.iter().filter(|versions| versions.len() > 1).count();
    for (number, versions) in results.iter().enumerate() {
        record(format!(
            "s{number} holds events of {}",
            versions.join(", then ")
        ));
    }
    record(format!(
        "{mixed} of {STREAMS} streams hold events of two versions; allowed are {ALLOWED}"
    ));
    if results.iter().any(Vec::is_empty) {
        cannot_run("a stream did not begin");
    }
    exit(i32::from(mixed > ALLOWED));
}
