//! Stand-in for a backend server.

use crate::http::{Reader, Request};
use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// A request that reached a server and was not turned away.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub server: String,
    pub request: Request,
}

impl Run {
    pub fn id(&self) -> &str {
        self.request.header("Attempt-Id").unwrap_or("-")
    }
}

/// Answers one request. An error closes the channel.
pub type Handler = Arc<dyn Fn(&Engine, &Request, &mut TcpStream) -> io::Result<()> + Send + Sync>;

struct State {
    id: String,
    version: String,
    channels: BTreeMap<u64, TcpStream>,
    runs: Vec<Run>,
}

/// A running server. It answers 421 to requests for another instance.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    is_up: Arc<AtomicBool>,
    /// Time after which an idle channel is closed.
    idle_timeout: Duration,
    handler: Handler,
}

/// Time after which an idle channel is closed, unless a case says otherwise.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

static LAST_CHANNEL: AtomicU64 = AtomicU64::new(0);

impl Engine {
    /// Starts a server at a free port of the address.
    pub fn spawn(ip: &str, id: &str, version: &str, handler: Handler) -> Self {
        Self::spawn_with_idle_timeout(ip, id, version, IDLE_TIMEOUT, handler)
    }

    /// Starts a server that closes idle channels after this time. It states whole seconds only.
    pub fn spawn_with_idle_timeout(
        ip: &str,
        id: &str,
        version: &str,
        idle_timeout: Duration,
        handler: Handler,
    ) -> Self {
        let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
        let engine = Self {
            address: listener.local_addr().expect("an address"),
            state: Arc::new(Mutex::new(State {
                id: id.to_owned(),
                version: version.to_owned(),
                channels: BTreeMap::new(),
                runs: Vec::new(),
            })),
            is_up: Arc::new(AtomicBool::new(true)),
            idle_timeout,
            handler,
        };
        let acceptor = engine.clone();
        thread::spawn(move || acceptor.accept(listener));
        engine
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    /// Returns the header that states the idle timeout in whole seconds, if there are any.
    fn keep_alive(&self) -> String {
        match self.idle_timeout.as_secs() {
            0 => String::new(),
            seconds => format!("Keep-Alive: timeout={seconds}\r\n"),
        }
    }

    pub fn id(&self) -> String {
        self.lock().id.clone()
    }

    pub fn version(&self) -> String {
        self.lock().version.clone()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Ends: all channels are closed and new ones refused.
    pub fn end(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        let channels = std::mem::take(&mut self.lock().channels);
        for channel in channels.into_values() {
            let _ = channel.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, which then drops its listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Starts again at the same address, under the same id, as this version of the software.
    pub fn start_again(&self, version: &str) {
        self.lock().version = version.to_owned();
        let listener = (0..200)
            .find_map(|_| {
                thread::sleep(Duration::from_millis(5));
                TcpListener::bind(self.address).ok()
            })
            .expect("the same port again");
        self.is_up.store(true, Ordering::SeqCst);
        let acceptor = self.clone();
        thread::spawn(move || acceptor.accept(listener));
    }

    fn accept(&self, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let _ = stream.set_nodelay(true);
            let number = LAST_CHANNEL.fetch_add(1, Ordering::SeqCst);
            if let Ok(clone) = stream.try_clone() {
                self.lock().channels.insert(number, clone);
            }
            let worker = self.clone();
            thread::spawn(move || {
                worker.serve(stream);
                worker.lock().channels.remove(&number);
            });
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_read_timeout(Some(self.idle_timeout));
        let mut reader = Reader::new(stream);
        loop {
            let Ok(Some(request)) = reader.request() else {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            };
            if !self.is_up.load(Ordering::SeqCst) {
                return;
            }
            let id = self.id();
            let attempt = request.header("Attempt-Id").unwrap_or("-").to_owned();
            let expected = request.header("Expect-Instance");
            if expected.is_some_and(|expected| expected != id) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nInstance-Id: {id}\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.lock().runs.push(Run {
                at: Instant::now(),
                server: id,
                request: request.clone(),
            });
            let handler = Arc::clone(&self.handler);
            if handler(self, &request, &mut writer).is_err() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// Writes an answer with a length.
pub fn answer(
    engine: &Engine,
    stream: &mut TcpStream,
    request: &Request,
    status: u16,
    headers: &str,
    body: &str,
) -> io::Result<()> {
    let id = request.header("Attempt-Id").unwrap_or("-");
    let text = format!(
        "HTTP/1.1 {status} X\r\nAttempt-Id: {id}\r\n{headers}{}Content-Length: {}\r\n\r\n{body}",
        engine.keep_alive(),
        body.len()
    );
    stream.write_all(text.as_bytes())
}

/// Writes the head of a stream.
pub fn begin_stream(engine: &Engine, stream: &mut TcpStream, request: &Request) -> io::Result<()> {
    let id = request.header("Attempt-Id").unwrap_or("-");
    let text = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-{id}\r\n{}\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        engine.keep_alive()
    );
    stream.write_all(text.as_bytes())
}

pub fn write_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
