//! The accepting thread and one thread for each connection.

use {
    crate::{Limits, Rejection, Reply, Request, connection::Input},
    std::{
        io::Result,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Stack of a connection's thread.
const STACK_BYTES: usize = 256 * 1024;
/// Pause after a failed accept, such as one out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What a server does with requests.
pub trait Handler: Send + Sync {
    /// Answers a request.
    fn handle(&self, request: Request, reply: Reply);

    /// Answers a connection that gave no request.
    fn reject(&self, rejection: Rejection, reply: Reply);
}

/// A running server.
#[derive(Debug, Clone)]
pub struct Server {
    address: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    closing: AtomicBool,
    connections: AtomicUsize,
}

impl Server {
    /// Listens on an address and serves until closed.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        limits: Limits,
        handler: impl Handler + 'static,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)?;
        let server = Self {
            address: listener.local_addr()?,
            state: Arc::default(),
        };
        let state = Arc::clone(&server.state);
        let handler: Arc<dyn Handler> = Arc::new(handler);
        thread::Builder::new()
            .name("accept".into())
            .spawn(move || accept(&listener, &limits, &state, &handler))?;
        Ok(server)
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::Relaxed)
    }

    /// Stops accepting. Requests in flight go on; kept connections end after their answer.
    pub fn close(&self) {
        self.state.closing.store(true, Ordering::Relaxed);
        // Wakes the accepting thread so that it sees the flag.
        drop(TcpStream::connect(self.address));
    }
}

fn accept(listener: &TcpListener, limits: &Limits, state: &Arc<State>, handler: &Arc<dyn Handler>) {
    while !state.closing.load(Ordering::Relaxed) {
        let Ok((socket, _)) = listener.accept() else {
            thread::sleep(ACCEPT_PAUSE);
            continue;
        };
        if state.closing.load(Ordering::Relaxed) {
            return;
        }
        prepare(&socket, limits);
        let count = state.connections.fetch_add(1, Ordering::Relaxed);
        if count >= limits.connections {
            handler.reject(Rejection::TooManyConnections, Reply::new(socket, false));
            state.connections.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        start_connection(
            socket,
            limits.clone(),
            Arc::clone(state),
            Arc::clone(handler),
        );
    }
}

fn prepare(socket: &TcpStream, limits: &Limits) {
    let options = [
        socket.set_nodelay(true),
        socket.set_write_timeout(Some(limits.write_timeout)),
    ];
    if options.iter().any(Result::is_err) {
        log::debug!("socket options were refused");
    }
}

fn start_connection(
    socket: TcpStream,
    limits: Limits,
    state: Arc<State>,
    handler: Arc<dyn Handler>,
) {
    let counter = Arc::clone(&state);
    let spawned = thread::Builder::new()
        .name("caller".into())
        .stack_size(STACK_BYTES)
        .spawn(move || {
            serve(&socket, &limits, &state, handler.as_ref());
            state.connections.fetch_sub(1, Ordering::Relaxed);
        });
    if let Err(error) = spawned {
        counter.connections.fetch_sub(1, Ordering::Relaxed);
        log::error!("no thread for a connection: {error}");
    }
}

fn serve(socket: &TcpStream, limits: &Limits, state: &State, handler: &dyn Handler) {
    let Ok(reading) = socket.try_clone() else {
        return;
    };
    let mut input = Input::new(reading);
    loop {
        let Ok(writing) = socket.try_clone() else {
            return;
        };
        match input.read_request(limits) {
            Ok(None) => return,
            Ok(Some(request)) => {
                let keep = keeps(&request) && !state.closing.load(Ordering::Relaxed);
                handler.handle(request, Reply::new(writing, keep));
                if !keep {
                    return;
                }
            }
            Err(rejection) => {
                handler.reject(rejection, Reply::new(writing, false));
                return;
            }
        }
    }
}

fn keeps(request: &Request) -> bool {
    request
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("keep-alive"))
}
