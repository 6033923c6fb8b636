//! Stand-in for the platform's store.

use crate::{
    http::{Reader, Request},
    json::{self, Json, from_base64, to_base64},
};
use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

type RowKey = (String, String);

/// How the store fails all its calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Channels are closed without an answer.
    Reset,
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFate {
    /// It is done and answered.
    Answered,
    /// It is not answered, and done after this time if its condition still holds.
    Late(Duration),
}

#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    key: RowKey,
    content: Option<Vec<u8>>,
}

/// Rows at one moment.
#[derive(Debug, Clone)]
pub struct Copy {
    revision: u64,
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
}

type Decide = Box<dyn Fn(&Json) -> WriteFate + Send>;

struct State {
    revision: u64,
    era: u64,
    rows: BTreeMap<RowKey, (u64, Vec<u8>)>,
    history: Vec<Change>,
    forgotten_up_to: u64,
    outage: Option<Outage>,
    decide: Decide,
    calls: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    started: Instant,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn spawn() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            revision: 100,
            era: 1,
            rows: BTreeMap::new(),
            history: Vec::new(),
            forgotten_up_to: 0,
            outage: None,
            decide: Box::new(|_| WriteFate::Answered),
            calls: 0,
        };
        let store = Self {
            address: listener.local_addr().expect("an address"),
            started: Instant::now(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = acceptor.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no panic while locked")
    }

    /// Writes a row, as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        self.write(
            &mut self.lock(),
            table,
            key,
            Some(content.as_bytes().to_vec()),
        );
    }

    pub fn read(&self, table: &str, key: &str) -> Option<String> {
        let state = self.lock();
        let (_, content) = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(String::from_utf8_lossy(content).into_owned())
    }

    /// Decides what becomes of the system's writes.
    pub fn decide_writes(&self, decide: impl Fn(&Json) -> WriteFate + Send + 'static) {
        self.lock().decide = Box::new(decide);
    }

    pub fn set_outage(&self, outage: Option<Outage>) {
        self.lock().outage = outage;
        self.state.1.notify_all();
    }

    /// Forgets the history: what is asked for since before gets 410.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.forgotten_up_to = state.revision;
        state.history.clear();
        drop(state);
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            revision: state.revision,
            rows: state.rows.clone(),
        }
    }

    /// Comes back from a copy; waiting calls end without an answer.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.era += 1;
        state.revision = copy.revision;
        state.rows = copy.rows.clone();
        state.history.clear();
        state.forgotten_up_to = copy.revision;
        drop(state);
        self.state.1.notify_all();
    }

    fn write(
        &self,
        state: &mut MutexGuard<'_, State>,
        table: &str,
        key: &str,
        content: Option<Vec<u8>>,
    ) {
        state.revision += 1;
        let revision = state.revision;
        let key = (table.to_owned(), key.to_owned());
        match &content {
            Some(content) => {
                state.rows.insert(key.clone(), (revision, content.clone()));
            }
            None => {
                state.rows.remove(&key);
            }
        }
        state.history.push(Change {
            revision,
            key,
            content,
        });
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.request() {
            let (era, outage) = {
                let mut state = self.lock();
                state.calls += 1;
                (state.era, state.outage)
            };
            let answer = match outage {
                Some(_) => None,
                None => self.handle(&request),
            };
            let (outage, era_now) = {
                let state = self.lock();
                (state.outage, state.era)
            };
            match (outage.or((era != era_now).then_some(Outage::Reset)), answer) {
                (None, None) => {
                    // A channel on which an answer is lost delivers nothing further.
                    thread::sleep(Duration::from_secs(60));
                    return;
                }
                (Some(Outage::Reset), _) => return,
                (None, Some((status, body))) => {
                    let text = format!(
                        "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                         Content-Length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        match request.path() {
            "/rows-get" => Some(self.rows(request)),
            "/rows-feed" => Some(self.feed(request)),
            "/rows-tx" => self.transact(request),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn tail(&self, state: &State) -> String {
        format!(
            "\"RowVersion\":{},\"NowMs\":{}",
            state.revision,
            self.started.elapsed().as_millis() + 1_000_000
        )
    }

    fn rows(&self, request: &Request) -> (u16, String) {
        let table = request.parameter("TableName").unwrap_or_default();
        let from = request.parameter("Source").unwrap_or_default();
        let state = self.lock();
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|((row_table, key), _)| *row_table == table && *key >= from)
            .map(|((_, key), (revision, content))| row(&table, key, *revision, Some(content)))
            .collect();
        let body = format!(
            "{{\"Rows\":[{}],\"HasMore\":false,{}}}",
            rows.join(","),
            self.tail(&state)
        );
        (200, body)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let number = |name: &str| -> u64 {
            let text = request.parameter(name);
            text.and_then(|text| text.parse().ok()).unwrap_or(0)
        };
        let table = request.parameter("TableName").unwrap_or_default();
        let since = number("SinceRevision");
        let deadline = Instant::now() + Duration::from_millis(number("WaitMs").min(30_000));
        let mut state = self.lock();
        let era = state.era;
        loop {
            if since < state.forgotten_up_to || since > state.revision {
                return (410, "{}".to_owned());
            }
            let rows: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.revision > since && change.key.0 == table)
                .map(|change| {
                    let content = change.content.as_deref();
                    row(&table, &change.key.1, change.revision, content)
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            let is_over = left.is_zero() || state.outage.is_some() || state.era != era;
            if !rows.is_empty() || is_over {
                let body = format!("{{\"Rows\":[{}],{}}}", rows.join(","), self.tail(&state));
                return (200, body);
            }
            state = self
                .state
                .1
                .wait_timeout(state, left)
                .expect("no panic while locked")
                .0;
        }
    }

    /// Returns no answer if that is lost.
    fn transact(&self, request: &Request) -> Option<(u16, String)> {
        let transaction = json::parse(&String::from_utf8_lossy(&request.body));
        let fate = (self.lock().decide)(&transaction);
        match fate {
            WriteFate::Answered => Some(self.apply(&transaction)),
            WriteFate::Late(delay) => {
                let store = self.clone();
                thread::spawn(move || {
                    thread::sleep(delay);
                    store.apply(&transaction);
                });
                None
            }
        }
    }

    fn apply(&self, transaction: &Json) -> (u16, String) {
        let mut state = self.lock();
        let holds = transaction.list("ExpectedRevision").iter().all(|row| {
            let key = (row.text("TableName"), row.text("Key"));
            let revision = state.rows.get(&key).map_or(0, |(revision, _)| *revision);
            revision == row.number("RowVersion") as u64
        });
        if !holds {
            return (412, format!("{{\"Rows\":[],{}}}", self.tail(&state)));
        }
        for row in transaction.list("Write") {
            let content = from_base64(&row.text("Data"));
            self.write(
                &mut state,
                &row.text("TableName"),
                &row.text("Key"),
                Some(content),
            );
        }
        for row in transaction.list("Remove") {
            self.write(&mut state, &row.text("TableName"), &row.text("Key"), None);
        }
        (200, format!("{{{}}}", self.tail(&state)))
    }
}

fn row(table: &str, key: &str, revision: u64, content: Option<&[u8]>) -> String {
    let content = content.map_or_else(
        || "\"Deleted\":true".to_owned(),
        |content| format!("\"Data\":\"{}\"", to_base64(content)),
    );
    format!(
        "{{\"TableName\":\"{table}\",\"part\":\"\",\"Key\":\"{key}\",\"RowVersion\":{revision},{content}}}"
    )
}
