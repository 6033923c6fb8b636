//! Pool of connections to backend servers.

use {
    crate::idle_connections::{
        ConnectionReuse, Idle, IdleBounds, IdleConnections, excess_idle_time,
    },
    baobab_client::{Connection, Options, SendError},
    baobab_place::{ConnectionLimits, Server, ServerKey},
    quick_error::quick_error,
    std::{cell::RefCell, collections::HashMap, time::Duration},
    tokio::time::Instant,
};

/// Timeouts of connections to servers.
const OPTIONS: Options = Options {
    // Servers in any failure domain accept within milliseconds. A lost SYN is resent after one
    // second; by then another server responds sooner.
    connect_timeout: Duration::from_millis(700),
    // Less than the two seconds after which callers abandon a stream without data.
    user_timeout: Duration::from_millis(1500),
};
/// Memory of an idle connection: buffers, tasks and the socket.
const IDLE_CONNECTION_BYTES: u64 = 16 * 1024;
/// Connections that are kept for long may use the process's memory divided by this.
const MEMORY_DIVISOR: u64 = 32;
/// Connections that are kept for long may use the descriptors of callers' connections divided by this.
const DESCRIPTOR_DIVISOR: usize = 4;

quick_error! {
    /// Why no connection was opened.
    #[derive(Debug)]
    pub enum OpenError {
        /// This router's connections to the server are all in use; not a failure of the server.
        AllInUse(max_connections: usize) {
            display("all {max_connections} connections to the server are in use")
        }
        /// The server did not accept the connection.
        Refused(error: SendError) {
            display("{error}")
        }
    }
}

impl Idle for Connection {
    fn is_closed(&self) -> bool {
        Connection::is_closed(self)
    }

    fn idle_for(&self) -> Duration {
        Connection::idle_for(self)
    }
}

#[derive(Debug, Default)]
struct ServerConnections {
    idle: IdleConnections<Connection>,
    open: usize,
}

impl ServerConnections {
    /// Removes closed and expired idle connections. Returns whether the server has closed one for
    /// another reason than its idle timeout, as a server that ends.
    fn remove_closed(&mut self) -> bool {
        let before = self.idle.len();
        let has_unexplained = self.idle.remove_closed(Instant::now());
        self.open -= before - self.idle.len();
        has_unexplained
    }
}

/// Idle connections by server, and the number of open ones.
#[derive(Debug)]
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerKey, ServerConnections>>,
    /// Maximum number of connections that are kept for long, to all servers.
    max_long_idle: usize,
}

impl ConnectionPool {
    /// Creates an empty pool. Its bound follows from the memory of the process and the maximum number of
    /// callers' connections.
    #[must_use]
    pub fn new(memory_bytes: u64, max_caller_connections: usize) -> Self {
        let by_memory = memory_bytes / MEMORY_DIVISOR / IDLE_CONNECTION_BYTES;
        let by_memory = usize::try_from(by_memory).unwrap_or(usize::MAX);
        Self {
            servers: RefCell::default(),
            max_long_idle: by_memory.min(max_caller_connections / DESCRIPTOR_DIVISOR),
        }
    }

    /// Removes and returns an idle connection. Calls `on_closed` if the server has closed one for
    /// another reason than its idle timeout, as a server that ends.
    pub fn take(
        &self,
        server: ServerKey,
        reuse: ConnectionReuse,
        on_closed: impl Fn(),
    ) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let connections = servers.get_mut(&server)?;
        if connections.remove_closed() {
            on_closed();
        }
        connections.idle.take(reuse, Instant::now())
    }

    /// Removes and returns an idle connection that was opened before `before` and is still open, with the
    /// server's announced idle timeout.
    pub fn take_older(
        &self,
        server: ServerKey,
        before: Instant,
    ) -> Option<(Connection, Option<Duration>)> {
        let mut servers = self.servers.borrow_mut();
        let idle = &mut servers.get_mut(&server)?.idle;
        idle.take_matching(|connection| connection.opened_at() < before, Instant::now())
    }

    /// Returns those of some servers to which a request can use an idle connection, sorted, or none if it needs a
    /// new one at any server.
    #[must_use]
    pub fn connected_servers(
        &self,
        among: &[ServerKey],
        reuse: ConnectionReuse,
    ) -> Option<Vec<ServerKey>> {
        if reuse == ConnectionReuse::Never {
            return None;
        }
        let now = Instant::now();
        let servers = self.servers.borrow();
        let is_connected = |server: &ServerKey| {
            let connections = servers.get(server);
            connections.is_some_and(|connections| connections.idle.has_usable(reuse, now))
        };
        let mut connected: Vec<ServerKey> = among.iter().copied().filter(is_connected).collect();
        connected.sort_unstable();
        Some(connected)
    }

    /// Records that the server closed a connection that was taken after it had been idle for
    /// `idle_for`, before it began to respond. Returns whether its idle timeout explains that.
    pub fn on_closed_in_use(&self, server: ServerKey, idle_for: Duration) -> bool {
        let mut servers = self.servers.borrow_mut();
        let connections = servers.entry(server).or_default();
        connections.idle.on_closed_in_use(idle_for, Instant::now())
    }

    /// Opens a connection. Closes an idle one first if the limit is reached.
    ///
    /// # Errors
    ///
    /// Fails if the server does not accept, or `max_connections` connections to it are in use.
    pub async fn open(
        &self,
        server: &Server,
        max_connections: usize,
    ) -> Result<Connection, OpenError> {
        {
            let mut servers = self.servers.borrow_mut();
            let connections = servers.entry(server.key).or_default();
            if connections.open >= max_connections && connections.idle.remove_oldest() {
                connections.open -= 1;
            }
            if connections.open >= max_connections {
                return Err(OpenError::AllInUse(max_connections));
            }
            connections.open += 1;
        }
        let guard = OpeningGuard {
            pool: self,
            server: server.key,
            is_open: false,
        };
        let opening_at = Instant::now();
        let connection = Connection::open(server.address, OPTIONS)
            .await
            .map_err(|error| {
                self.on_not_opened(server.key, opening_at.elapsed());
                OpenError::Refused(error)
            })?;
        guard.disarm();
        Ok(connection)
    }

    fn on_not_opened(&self, server: ServerKey, elapsed: Duration) {
        if elapsed >= OPTIONS.connect_timeout {
            self.shorten_all();
        } else {
            self.shorten(server);
        }
    }

    /// Returns a connection whose exchange has ended to the pool, which closes others if there are too many.
    /// `announced` is the idle timeout that the server announced for it.
    pub fn put(
        &self,
        server: ServerKey,
        mut connection: Connection,
        announced: Option<Duration>,
        limits: ConnectionLimits,
    ) {
        connection.touch();
        let bounds = IdleBounds {
            max_idle: limits.max_idle,
            max_long_idle: limits.max_long_idle(),
        };
        let mut servers = self.servers.borrow_mut();
        let connections = servers.entry(server).or_default();
        let before = connections.idle.len();
        connections
            .idle
            .put(connection, announced, bounds, Instant::now());
        let closed = before + 1 - connections.idle.len();
        connections.open = connections.open.saturating_sub(closed);
    }

    /// Records that a connection in use was closed.
    pub fn discard(&self, server: ServerKey) {
        if let Some(connections) = self.servers.borrow_mut().get_mut(&server) {
            connections.open = connections.open.saturating_sub(1);
        }
    }

    /// Closes all idle connections to a server.
    pub fn close_idle(&self, server: ServerKey) {
        if let Some(connections) = self.servers.borrow_mut().get_mut(&server) {
            connections.open -= connections.idle.len();
            connections.idle.clear();
        }
    }

    /// Keeps the idle connections to a server for a short time only: it has closed, lost or refused
    /// connections.
    pub fn shorten(&self, server: ServerKey) {
        if let Some(connections) = self.servers.borrow_mut().get_mut(&server) {
            connections.idle.shorten();
        }
    }

    /// Keeps all idle connections for a short time only: the network has lost what was sent, and those
    /// that are idle may have gone silent, too.
    pub fn shorten_all(&self) {
        let idle_connections = self.idle();
        log::info!(idle_connections; "network has lost data; idle connections are kept for a short time");
        for connections in self.servers.borrow_mut().values_mut() {
            connections.idle.shorten();
        }
    }

    /// Closes connections that have been idle for too long, or for longest if too many are kept.
    ///
    /// Returns the servers that have closed one for another reason than their idle timeout.
    pub fn expire(&self) -> Vec<ServerKey> {
        let mut servers = self.servers.borrow_mut();
        let unexplained = servers
            .iter_mut()
            .filter_map(|(server, connections)| connections.remove_closed().then_some(*server))
            .collect();
        let idle_times = servers
            .values()
            .flat_map(|connections| connections.idle.long_idle_times());
        if let Some(min_idle_time) = excess_idle_time(idle_times.collect(), self.max_long_idle) {
            for connections in servers.values_mut() {
                let before = connections.idle.len();
                connections.idle.remove_idle_for(min_idle_time);
                connections.open -= before - connections.idle.len();
            }
        }
        unexplained
    }

    /// Returns the number of idle connections to all servers.
    #[must_use]
    pub fn idle(&self) -> usize {
        let servers = self.servers.borrow();
        servers
            .values()
            .map(|connections| connections.idle.len())
            .sum()
    }

    /// Forgets what is known of a server's idle timeout, because it has started again.
    pub fn on_server_restarted(&self, server: ServerKey) {
        if let Some(connections) = self.servers.borrow_mut().get_mut(&server) {
            connections.idle.on_server_restarted();
        }
    }

    /// Forgets servers without connections that are no longer announced.
    pub fn forget_servers(&self, is_announced: impl Fn(ServerKey) -> bool) {
        self.servers
            .borrow_mut()
            .retain(|server, connections| connections.open > 0 || is_announced(*server));
    }
}

/// Stops counting a connection if opening it fails or is cancelled.
struct OpeningGuard<'a> {
    pool: &'a ConnectionPool,
    server: ServerKey,
    is_open: bool,
}

impl OpeningGuard<'_> {
    fn disarm(mut self) {
        self.is_open = true;
    }
}

impl Drop for OpeningGuard<'_> {
    fn drop(&mut self) {
        if !self.is_open {
            self.pool.discard(self.server);
        }
    }
}
