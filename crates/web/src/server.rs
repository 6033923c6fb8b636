//! Accept loop and one thread for each connection.

use {
    crate::{Limits, Rejection, Request, ResponseWriter, request_reader::RequestReader},
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

/// Stack size of a connection's thread.
const THREAD_STACK_BYTES: usize = 256 * 1024;
/// Delay after a failed accept, for instance when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the requests and rejections of a server.
pub trait Handler: Send + Sync {
    /// Responds to a request.
    fn handle(&self, request: Request, writer: ResponseWriter);

    /// Responds to a connection whose request was rejected; the connection is then closed.
    fn reject(&self, rejection: Rejection, writer: ResponseWriter);
}

/// Handle of a running server. Dropping it does not stop the server.
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
    /// Listens on an address and serves in background threads until closed.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound or the accept thread can't be started.
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
            .spawn(move || run_accept_loop(&listener, &limits, &state, &handler))?;
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

    /// Stops accepting. Requests in flight continue; connections close after their response.
    pub fn close(&self) {
        self.state.closing.store(true, Ordering::Relaxed);
        // Wakes the accept loop so that it checks the flag.
        drop(TcpStream::connect(self.address));
    }
}

fn run_accept_loop(
    listener: &TcpListener,
    limits: &Limits,
    state: &Arc<State>,
    handler: &Arc<dyn Handler>,
) {
    while !state.closing.load(Ordering::Relaxed) {
        let Ok((socket, _)) = listener.accept() else {
            thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        if state.closing.load(Ordering::Relaxed) {
            return;
        }
        set_socket_options(&socket, limits);
        let count = state.connections.fetch_add(1, Ordering::Relaxed);
        if count >= limits.max_connections {
            handler.reject(
                Rejection::TooManyConnections,
                ResponseWriter::new(socket, false),
            );
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

fn set_socket_options(socket: &TcpStream, limits: &Limits) {
    let options = [
        socket.set_nodelay(true),
        socket.set_write_timeout(Some(limits.write_timeout)),
    ];
    if options.iter().any(Result::is_err) {
        log::debug!("socket options could not be set");
    }
}

fn start_connection(
    socket: TcpStream,
    limits: Limits,
    state: Arc<State>,
    handler: Arc<dyn Handler>,
) {
    let state_on_failure = Arc::clone(&state);
    let spawned = thread::Builder::new()
        .name("caller".into())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(move || {
            serve(&socket, &limits, &state, handler.as_ref());
            state.connections.fetch_sub(1, Ordering::Relaxed);
        });
    if let Err(error) = spawned {
        state_on_failure.connections.fetch_sub(1, Ordering::Relaxed);
        log::error!("cannot start a thread for a connection: {error}");
    }
}

fn serve(socket: &TcpStream, limits: &Limits, state: &State, handler: &dyn Handler) {
    let Ok(read_half) = socket.try_clone() else {
        return;
    };
    let mut reader = RequestReader::new(read_half);
    loop {
        let Ok(write_half) = socket.try_clone() else {
            return;
        };
        match reader.read_request(limits) {
            Ok(None) => return,
            Ok(Some(request)) => {
                let keep_alive =
                    wants_keep_alive(&request) && !state.closing.load(Ordering::Relaxed);
                handler.handle(request, ResponseWriter::new(write_half, keep_alive));
                if !keep_alive {
                    return;
                }
            }
            Err(rejection) => {
                handler.reject(rejection, ResponseWriter::new(write_half, false));
                return;
            }
        }
    }
}

fn wants_keep_alive(request: &Request) -> bool {
    request
        .header("connection")
        .is_some_and(|value| value.eq_ignore_ascii_case("keep-alive"))
}
