//! A connection to a backend server that is in use.

use {
    crate::core::Core,
    baobab_client::{Connection, SendError},
    baobab_place::ServerKey,
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::body::Incoming,
    std::rc::Rc,
};

/// A connection in use. Dropping it closes the connection and releases its slot in the pool.
pub struct ActiveConnection {
    core: Rc<Core>,
    server: ServerKey,
    connection: Option<Connection>,
    /// Whether it had another request before.
    pub is_reused: bool,
}

impl ActiveConnection {
    /// Takes over a connection that the pool counts as open.
    #[must_use]
    pub fn new(
        core: &Rc<Core>,
        server: ServerKey,
        connection: Connection,
        is_reused: bool,
    ) -> Self {
        Self {
            is_reused,
            core: Rc::clone(core),
            server,
            connection: Some(connection),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks; the variant says whether any of the request was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match &mut self.connection {
            Some(connection) => connection.send(request).await,
            None => Err(SendError::NotSent("the connection is closed".to_owned())),
        }
    }

    /// Returns when the run of the server at its other end started, in Unix milliseconds, if it has said so.
    #[must_use]
    pub fn run(&self) -> Option<u64> {
        self.connection
            .as_ref()
            .and_then(|connection| connection.peer_started_unix_ms)
    }

    /// Records when the run of the server at its other end started.
    pub fn set_run(&mut self, started_unix_ms: u64) {
        if let Some(connection) = &mut self.connection {
            connection.peer_started_unix_ms = Some(started_unix_ms);
        }
    }

    /// Whether the whole request was written before the server closed the connection.
    #[must_use]
    pub fn is_request_written(&self) -> bool {
        self.connection
            .as_ref()
            .is_none_or(Connection::is_request_written)
    }

    /// Whether either side has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.connection.as_ref().is_none_or(Connection::is_closed)
    }

    /// Returns the connection, whose slot the caller releases.
    #[must_use]
    pub fn release(&mut self) -> Option<Connection> {
        self.connection.take()
    }
}

impl Drop for ActiveConnection {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.core.pool.discard(self.server);
        }
    }
}
