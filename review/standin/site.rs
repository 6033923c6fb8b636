//! A small deployment: configuration, announcements and requests.

use crate::{
    engine::{Engine, Run},
    http::{self, Answer},
    record::Record,
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const HOST: &str = "pumps.example";

/// Returns a configuration with one route of each kind to the service "desk".
pub fn config(version: u64, keys: &[&str], backend: bool) -> String {
    let route = |name: &str, kind: &str, timeout: u64, aim: u64, attempts: u32, resume: bool| {
        format!(
            r#"{{"Name":"r-{name}","Host":"{HOST}","PathPrefix":"/{name}/","RouteType":"{kind}",
"TimeoutMs":{timeout},"TargetLatencyMs":{aim},"GapAimMs":400,"Priority":1,"Service":"desk",
"MaxAttempts":{attempts},"Anonymous":false,"SessionAffinity":false,"StreamResume":{resume}}}"#
        )
    };
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let backend = if backend {
        r#","Backend":{"Slots":64,"KvCapacity":672082,"KvTokenBytes":18432,"Stride":5,"ModelList":[{"Name":"m"}]}"#
    } else {
        ""
    };
    format!(
        r#"{{"Version":{version},"Routes":[{},{},{},{}],
"Services":[{{"Name":"desk","HealthPath":"/healthz","MaxConnections":360,"Protocol":"h1","Tls":false{backend}}}],
"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000,"TokensPerS":480000}},
"Tenants":[{{"Name":"north","ApiKeys":[{}],"Priority":1}}]}}"#,
        route("lookup", "idempotent", 1000, 120, 2, false),
        route("order", "non_idempotent", 1000, 120, 1, false),
        route("history", "streaming", 15000, 800, 1, false),
        route("query", "streaming", 15000, 400, 2, true),
        keys.join(",")
    )
}

static SEQUENCE: AtomicU64 = AtomicU64::new(1);

/// Announces a server in the store, as its heartbeat does.
pub fn announce(store: &Store, engine: &Engine, state: &str, born_ms: u128) {
    let row = format!(
        r#"{{"Service":"desk","Address":"{}","Zone":"chaguanas","Version":"{}","Slots":6,"State":"{state}","ColdRemainingMs":0,"Sequence":{},"born":{born_ms}}}"#,
        engine.address,
        engine.version(),
        SEQUENCE.fetch_add(1, Ordering::SeqCst)
    );
    store.put("servers", &engine.id(), &row);
}

/// Announces servers as long as it is not dropped, each every 1.2 s at times of its own.
pub struct Heartbeats {
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Heartbeats {
    pub fn start(store: &Store, engines: &[Engine], born_ms: u128) -> Self {
        let (store, engines) = (store.clone(), engines.to_vec());
        let stop: Arc<AtomicBool> = Arc::default();
        let stopped = Arc::clone(&stop);
        for engine in &engines {
            announce(&store, engine, "ready", born_ms);
        }
        let thread = thread::spawn(move || {
            let pause = Duration::from_millis(1200) / u32::try_from(engines.len()).unwrap_or(1);
            let mut due = Instant::now();
            while !stopped.load(Ordering::SeqCst) {
                for engine in &engines {
                    due += pause;
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    announce(&store, engine, "ready", born_ms);
                }
            }
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Heartbeats {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

pub fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}

static LAST_REQUEST: AtomicU64 = AtomicU64::new(0);

pub fn new_id() -> String {
    let number = LAST_REQUEST.fetch_add(1, Ordering::SeqCst) + 1;
    format!("{:08x}{number:08x}", std::process::id())
}

/// A request and what came of it.
#[derive(Debug, Clone)]
pub struct Sent {
    pub id: String,
    pub at: Instant,
    pub router: String,
    pub path: String,
    pub key: String,
    pub answer: Answer,
}

/// Sends a request on a new channel.
pub fn send(
    router: (&str, SocketAddr),
    method: &str,
    path: &str,
    key: &str,
    extra: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Sent {
    let id = new_id();
    send_as(&id, router, method, path, key, extra, body, limit)
}

#[allow(clippy::too_many_arguments)]
pub fn send_as(
    id: &str,
    router: (&str, SocketAddr),
    method: &str,
    path: &str,
    key: &str,
    extra: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Sent {
    let bearer = format!("Bearer {key}");
    let deadline = limit.as_millis().to_string();
    let mut headers = vec![
        ("Host", HOST),
        ("Attempt-Id", id),
        ("Deadline-Ms", &deadline),
        ("Authorization", &bearer),
    ];
    headers.extend_from_slice(extra);
    let at = Instant::now();
    let slack = Duration::from_secs(2);
    let answer = http::call(router.1, method, path, &headers, body, limit + slack);
    Sent {
        id: id.to_owned(),
        at,
        router: router.0.to_owned(),
        path: path.to_owned(),
        key: key.to_owned(),
        answer,
    }
}

/// Requests at a steady rate, each on a thread of a few.
pub struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Load {
    pub fn new() -> Self {
        Self {
            stop: Arc::default(),
            sent: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Adds clients of one router, which together send this many requests a second.
    pub fn add(
        &mut self,
        router: (&str, SocketAddr),
        clients: u32,
        per_s: f64,
        kind: (&'static str, &'static str),
        key: &'static str,
        limit: Duration,
    ) {
        let pause = Duration::from_secs_f64(f64::from(clients) / per_s);
        for client in 0..clients {
            let (stop, sent) = (Arc::clone(&self.stop), Arc::clone(&self.sent));
            let name = router.0.to_owned();
            let address = router.1;
            self.threads.push(thread::spawn(move || {
                let mut due =
                    Instant::now() + pause.mul_f64(f64::from(client) / f64::from(clients));
                while !stop.load(Ordering::SeqCst) {
                    let now = Instant::now();
                    if now < due {
                        thread::sleep((due - now).min(Duration::from_millis(50)));
                        continue;
                    }
                    due = (due + pause).max(now);
                    let body: &[u8] = if kind.0 == "POST" {
                        b"one pump seal"
                    } else {
                        b""
                    };
                    let result = send((&name, address), kind.0, kind.1, key, &[], body, limit);
                    sent.lock().expect("no panic while locked").push(result);
                }
            }));
        }
    }

    pub fn stop(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let sent = self.sent.lock().expect("no panic while locked");
        sent.clone()
    }
}

/// Returns the largest number of runs within any time of this length, from `from` on.
pub fn most_in_window(runs: &[Run], from: Instant, window: Duration) -> usize {
    let mut times: Vec<Instant> = runs
        .iter()
        .map(|run| run.at)
        .filter(|at| *at >= from)
        .collect();
    times.sort();
    (0..times.len())
        .map(|first| {
            times[first..]
                .iter()
                .take_while(|at| **at < times[first] + window)
                .count()
        })
        .max()
        .unwrap_or(0)
}

/// Records requests with their answers.
pub fn record_sent(record: &Record, sent: &[Sent]) {
    for sent in sent {
        record.add_at(
            sent.at,
            format!(
                "sent {} {} to {} with key {}: status {}, {}, {} bytes, {:.0} ms",
                sent.id,
                sent.path,
                sent.router,
                sent.key,
                sent.answer.status,
                if sent.answer.is_complete {
                    "complete"
                } else {
                    "not complete"
                },
                sent.answer.body.len(),
                sent.answer.took.as_secs_f64() * 1000.0
            ),
        );
    }
}

/// Records what reached the servers.
pub fn record_runs(record: &Record, engines: &[Engine]) {
    for engine in engines {
        for run in engine.runs() {
            record.add_at(
                run.at,
                format!(
                    "server {} got {} {}",
                    run.server,
                    run.id(),
                    run.request.target
                ),
            );
        }
    }
}
