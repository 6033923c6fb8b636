//! Reads the body of a server's response.

use {
    super::{
        body_end::BodyEnd,
        cut_upload::check_cut_upload,
        end_check::{EndedResponse, check_end},
        keep_alive::KeepAlive,
        load_guard::LoadGuard,
    },
    crate::{core::Core, evidence::AnswerBeginning},
    baobab_client::{Connection, is_closed_by_server},
    baobab_place::{Server, ServerOutcome},
    bytes::Bytes,
    hyper::body::{Body, Incoming},
    std::{
        future::Future,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::time::Instant,
};

/// The body of a response. Dropping it before its end closes the connection, which makes the server
/// cancel the request.
pub struct Exchange {
    core: Rc<Core>,
    connection: Option<Connection>,
    body: Incoming,
    load_guard: Option<LoadGuard>,
    keep_alive: KeepAlive,
    body_end: BodyEnd,
    began_at: Instant,
    has_ended: bool,
    /// The connection, once its end has ended the body.
    ended_connection: Option<Connection>,
    /// Finds out whether the server runs on, once the connection's end has ended the body.
    end_check: Option<Pin<Box<dyn Future<Output = bool>>>>,
    has_data: bool,
    /// Data that was read before and is returned again.
    early_data: Option<Bytes>,
    /// Bytes that the body may still have.
    bytes_left: u64,
    beginning: Option<AnswerBeginning>,
}

impl Exchange {
    /// Creates an exchange for a response whose head was read. `beginning` watches whether the response
    /// goes on, if it is the answer of an engine.
    #[must_use]
    pub fn new(
        core: &Rc<Core>,
        connection: Connection,
        body: Incoming,
        load_guard: LoadGuard,
        keep_alive: KeepAlive,
        body_end: BodyEnd,
        beginning: Option<AnswerBeginning>,
    ) -> Self {
        Self {
            core: Rc::clone(core),
            connection: Some(connection),
            body,
            load_guard: Some(load_guard),
            keep_alive,
            body_end,
            began_at: Instant::now(),
            has_ended: false,
            ended_connection: None,
            end_check: None,
            has_data: false,
            early_data: None,
            bytes_left: u64::MAX,
            beginning,
        }
    }

    /// Gives a body up that has more bytes than this.
    pub fn limit(&mut self, max_bytes: u64) {
        self.bytes_left = max_bytes;
    }

    /// Returns data that was read once more, before any other.
    pub fn put_back(&mut self, data: Bytes) {
        self.early_data = (!data.is_empty()).then_some(data);
    }

    /// Reads the next data frame. Returns none at the end of the body; [`Self::poll_end`] tells whether it
    /// is complete.
    pub fn poll_data(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, String>>> {
        if let Some(data) = self.early_data.take() {
            return Poll::Ready(Some(Ok(data)));
        }
        if self.has_ended {
            return Poll::Ready(None);
        }
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(context)) else {
                self.has_ended = true;
                return Poll::Ready(None);
            };
            match frame {
                Ok(frame) => {
                    // Trailers are not forwarded.
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.record_data();
                    let Some(bytes_left) = self.bytes_left.checked_sub(data.len() as u64) else {
                        let reason = "a response without content-length is too long";
                        return Poll::Ready(Some(Err(reason.to_owned())));
                    };
                    self.bytes_left = bytes_left;
                    return Poll::Ready(Some(Ok(data)));
                }
                Err(error) => {
                    if is_closed_by_server(&error) {
                        self.on_broken();
                    } else {
                        self.core.pool.shorten_all();
                    }
                    return Poll::Ready(Some(Err(error.to_string())));
                }
            }
        }
    }

    /// Waits until it is known whether a body that has ended is complete. One that ends with its connection
    /// is, if the whole request was written before that, the connection was not reset, and the server runs on.
    ///
    /// # Errors
    ///
    /// Fails if one of these is not the case. A server that ends closes its connections.
    pub fn poll_end(&mut self, context: &mut Context) -> Poll<Result<(), String>> {
        let Some(load_guard) = &mut self.load_guard else {
            return Poll::Ready(Ok(()));
        };
        if self.body_end == BodyEnd::Declared {
            return Poll::Ready(Ok(()));
        }
        if let Some(connection) = self.connection.take() {
            self.core.pool.discard(load_guard.server.key);
            load_guard.release_load();
            self.ended_connection = Some(connection);
        }
        if let Some(reason) = self.ended_connection.as_ref().and_then(end_fault) {
            self.on_broken();
            return Poll::Ready(Err(reason.to_owned()));
        }
        let end_check = self.end_check.get_or_insert_with(|| {
            let connection = self.ended_connection.as_ref();
            let request_bytes = connection.map_or(0, Connection::request_bytes);
            let ended = EndedResponse::of(load_guard, self.began_at, request_bytes);
            Box::pin(check_end(Rc::clone(&self.core), ended))
        });
        let runs_on = ready!(end_check.as_mut().poll(context));
        // The connection may have been reset meanwhile.
        let reason = match self.ended_connection.as_ref().and_then(end_fault) {
            Some(reason) => reason,
            None if runs_on => return Poll::Ready(Ok(())),
            None => "the server ended with its response",
        };
        if !runs_on {
            self.on_server_ended();
        }
        Poll::Ready(Err(reason.to_owned()))
    }

    /// Returns what ends the body.
    #[must_use]
    pub fn body_end(&self) -> BodyEnd {
        self.body_end
    }

    /// Records that the server closed the connection in the middle of the response. If it may not have read the
    /// request, that counts only if it has ended.
    pub fn on_broken(&mut self) {
        self.keep_alive = KeepAlive::Close;
        let Some(load_guard) = &self.load_guard else {
            return;
        };
        let connection = self.connection.as_ref().or(self.ended_connection.as_ref());
        let request_bytes = connection.map_or(0, Connection::request_bytes);
        let ended = EndedResponse::of(load_guard, self.began_at, request_bytes);
        let is_cut = connection.is_some_and(|connection| !connection.is_request_written());
        let is_early = self.body_end == BodyEnd::ConnectionEnd && ended.may_be_early();
        if !is_cut && !is_early {
            self.on_server_ended();
            return;
        }
        let beginning = self.beginning.take();
        check_cut_upload(&self.core, ended, |core| {
            if let Some(beginning) = beginning {
                beginning.on_broken(core);
            }
        });
    }

    /// Records that the server has ended.
    fn on_server_ended(&mut self) {
        if let Some(load_guard) = &self.load_guard {
            self.core
                .placer
                .borrow_mut()
                .on_request_lost(load_guard.server.key, self.core.now());
        }
        if let Some(beginning) = self.beginning.take() {
            beginning.on_broken(&self.core);
        }
    }

    /// Returns the server.
    #[must_use]
    pub fn server(&self) -> Option<&Server> {
        self.load_guard
            .as_ref()
            .map(|load_guard| &load_guard.server)
    }

    /// Returns the key of the server.
    #[must_use]
    pub fn server_key(&self) -> Option<baobab_place::ServerKey> {
        self.load_guard
            .as_ref()
            .map(|load_guard| load_guard.server.key)
    }

    /// Ends the exchange. Returns the connection to the pool if the response was complete and the
    /// server keeps it open, and closes it otherwise.
    pub fn finish(mut self, outcome: ServerOutcome) {
        if outcome == ServerOutcome::Success
            && let Some(beginning) = self.beginning.take()
        {
            beginning.on_complete(&self.core);
        }
        if let Some(load_guard) = self.load_guard.take() {
            let is_complete = outcome == ServerOutcome::Success || self.is_read();
            self.release_connection(&load_guard, is_complete);
            load_guard.finish(outcome);
        }
    }

    /// Whether the body was read to its declared end.
    fn is_read(&self) -> bool {
        self.body_end == BodyEnd::Declared && (self.has_ended || self.body.is_end_stream())
    }

    /// Returns the connection to the pool, or closes it.
    fn release_connection(&mut self, load_guard: &LoadGuard, is_complete: bool) {
        let server = load_guard.server.key;
        match (self.keep_alive, self.connection.take()) {
            // A server may never read the rest of a request that it has responded to.
            (KeepAlive::Reuse(timeout), Some(connection))
                if is_complete && connection.is_request_written() =>
            {
                let limits = load_guard.limits;
                self.core.pool.put(server, connection, timeout, limits);
            }
            (_, Some(_)) => self.core.pool.discard(server),
            (_, None) => {}
        }
    }

    fn record_data(&mut self) {
        if self
            .beginning
            .as_mut()
            .is_some_and(|beginning| beginning.on_data(&self.core))
        {
            self.beginning = None;
        }
        if !self.has_data {
            self.has_data = true;
            if let Some(load_guard) = &mut self.load_guard {
                load_guard.on_first_event();
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(load_guard) = self.load_guard.take() {
            // A response with a length is passed on without asking for what follows its last byte.
            let is_read = self.is_read();
            self.release_connection(&load_guard, is_read);
        }
    }
}

/// Returns why a response that has ended with this connection is not complete, if the connection shows that.
fn end_fault(connection: &Connection) -> Option<&'static str> {
    if !connection.is_request_written() {
        Some("the response ended before the whole request was sent")
    } else if connection.is_reset() {
        Some("the connection was reset after the response")
    } else {
        None
    }
}
