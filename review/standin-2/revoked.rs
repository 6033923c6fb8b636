//! One of two routers is cut off from the store while two configurations are written, of which the second one revokes
//! a key. Then the store comes back from a copy that has only the first one. The client of the revoked key goes on
//! sending.

mod lab;

use {
    lab::*,
    std::{
        io::Write,
        process::exit,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread::{self, sleep},
        time::{Duration, Instant},
    },
};

const REVOKE_TIME: Duration = Duration::from_millis(5000);
/// Time between the steps before the revocation.
const STEP: Duration = Duration::from_millis(300);
/// Time from the acknowledged revocation until the store goes away, and how long it is away.
const AWAY_AFTER: Duration = Duration::from_millis(3300);
const AWAY: Duration = Duration::from_millis(700);
/// Time after the return of the store within which the operator has written the newest configuration again.
const REWRITE_TIME: Duration = Duration::from_millis(2000);
const SEND_INTERVAL: Duration = Duration::from_millis(25);

/// An attempt of the client of the revoked key.
struct Attempt {
    id: String,
    sent_at: Instant,
    has_run: bool,
}

fn main() {
    guard();
    open_record();
    let store = Store::spawn();
    let link = store.spawn_link();
    let configured = |version, keys: &str| {
        let routes = [("/order/", "non_idempotent", r#","MaxAttempts":1"#)];
        configuration(version, &routes).replace("\"asnmgkcuyj8pjbvk9m68\"", keys)
    };
    store.put(
        "op",
        "config",
        &configured(1, "\"key-kept\",\"key-revoked\""),
    );
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let run = Arc::clone(&attempts);
    let server = Server::spawn("i-desk", move |request, stream| {
        let id = request.header("attempt-id");
        for attempt in run
            .lock()
            .unwrap()
            .iter_mut()
            .filter(|attempt| attempt.id == id)
        {
            attempt.has_run = true;
        }
        stream
            .write_all(&answer_text(200, request, "", b"done"))
            .is_ok()
    });
    server.announce(&store, "desk");
    let router = Router::spawn(
        &link,
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
    router.wait_until_ready();
    other.wait_until_ready();
    sleep(Duration::from_secs(3));

    let is_over = Arc::new(AtomicBool::new(false));
    let routers = [
        ("router 1", router.callers, router.health),
        ("router 2", other.callers, other.health),
    ];
    let clients: Vec<_> = routers
        .into_iter()
        .map(|(name, callers, health)| {
            let (attempts, is_over) = (Arc::clone(&attempts), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut last = (1, 1);
                for count in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    sleep(SEND_INTERVAL);
                    // The platform forwards new channels to routers that are ready.
                    if !is_ready(health) {
                        continue;
                    }
                    let send = |key: &str| {
                        let id = format!("{key} {name} {count}").replace(' ', "-");
                        let request = format!(
                            "POST /order/a HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer {key}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\nContent-Length: 5\r\n\r\norder"
                        );
                        if key == "key-revoked" {
                            let attempt = Attempt { id, sent_at: Instant::now(), has_run: false };
                            attempts.lock().unwrap().push(attempt);
                        }
                        ask(callers, request.as_bytes()).status
                    };
                    let statuses = (send("key-revoked"), send("key-kept"));
                    if statuses != last {
                        record(format!("{name}: from attempt {count} on, key-revoked gets {}, key-kept {}", statuses.0, statuses.1));
                        last = statuses;
                    }
                }
            })
        })
        .collect();

    sleep(STEP);
    if has_trouble() {
        record("router 1 is cut off from the store");
        link.set_cut(true);
    }
    sleep(STEP);
    store.put(
        "op",
        "config",
        &configured(2, "\"key-kept\",\"key-revoked\",\"key-added\""),
    );
    record("version 2, with another key, is acknowledged");
    sleep(STEP);
    let copy = store.copy();
    record("the store is copied");
    sleep(STEP);
    store.put("op", "config", &configured(3, "\"key-kept\",\"key-added\""));
    let acknowledged = Instant::now();
    record("version 3, without key-revoked, is acknowledged");
    sleep(AWAY_AFTER);
    if has_trouble() {
        record("the store goes away");
        store.go_away();
        sleep(AWAY);
        record("the store comes back from the copy; the cut heals");
        store.return_from(&copy);
        link.set_cut(false);
        server.announce(&store, "desk");
        sleep(REWRITE_TIME);
        store.put("op", "config", &configured(3, "\"key-kept\",\"key-added\""));
        record("version 3 is written again");
    }
    sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    router.end();
    other.end();
    let attempts = attempts.lock().unwrap();
    let bound = acknowledged + REVOKE_TIME;
    let late: Vec<&Attempt> = attempts
        .iter()
        .filter(|attempt| attempt.sent_at > bound)
        .collect();
    let run: Vec<&&Attempt> = late.iter().filter(|attempt| attempt.has_run).collect();
    for attempt in &run {
        let after = attempt.sent_at.duration_since(acknowledged).as_secs_f64();
        record(format!(
            "{} was sent {after:.3} s after the acknowledgement and has run",
            attempt.id
        ));
    }
    record(format!(
        "of {} attempts sent later than RevokeMs, {} have run; allowed are 0",
        late.len(),
        run.len()
    ));
    if !attempts
        .iter()
        .any(|attempt| attempt.sent_at < acknowledged && attempt.has_run)
        || late.is_empty()
    {
        cannot_run("the key did not work before, or nothing was sent after");
    }
    exit(i32::from(!run.is_empty()));
}
