//! An answer that is being read from a server.

use {
    super::lease::LoadLease,
    crate::core::Core,
    baobab_client::Connection,
    baobab_place::ServerOutcome,
    bytes::Bytes,
    hyper::body::{Body, Incoming},
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
};

/// The rest of an answer. Dropping it before its end closes the connection, which makes the
/// server stop.
pub struct Exchange {
    core: Rc<Core>,
    connection: Option<Connection>,
    body: Incoming,
    lease: Option<LoadLease>,
    keep: Keep,
    has_begun: bool,
}

/// What becomes of the connection after the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Keep {
    /// It is closed.
    Close,
    /// It is kept, for the time that the server has said.
    Reuse(Option<Duration>),
}

impl Exchange {
    /// Takes over an answer whose head was read.
    #[must_use]
    pub fn new(
        core: &Rc<Core>,
        connection: Connection,
        body: Incoming,
        lease: LoadLease,
        keep: Keep,
    ) -> Self {
        Self {
            core: Rc::clone(core),
            connection: Some(connection),
            body,
            lease: Some(lease),
            keep,
            has_begun: false,
        }
    }

    /// Reads on. Returns none at the end of a complete answer.
    pub fn poll_data(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, String>>> {
        loop {
            let Some(frame) = ready!(Pin::new(&mut self.body).poll_frame(context)) else {
                return Poll::Ready(None);
            };
            match frame {
                Ok(frame) => {
                    // Trailers belong to the connection.
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.note_begin();
                    return Poll::Ready(Some(Ok(data)));
                }
                Err(error) => return Poll::Ready(Some(Err(error.to_string()))),
            }
        }
    }

    /// Returns the server's identity.
    #[must_use]
    pub fn server_key(&self) -> Option<baobab_place::ServerKey> {
        self.lease.as_ref().map(|lease| lease.server.key)
    }

    /// Ends the exchange: keeps the connection where the answer was complete, closes it otherwise.
    pub fn finish(mut self, outcome: ServerOutcome) {
        if let Some(lease) = self.lease.take() {
            let server = lease.server.key;
            let max_idle = lease.limits.max_idle;
            let is_kept = outcome == ServerOutcome::Success || self.body.is_end_stream();
            match (self.keep, self.connection.take()) {
                (Keep::Reuse(time), Some(connection)) if is_kept => {
                    self.core.pool.put(server, connection, time, max_idle);
                }
                _ => self.core.pool.discard(server),
            }
            lease.finish(outcome);
        }
    }

    fn note_begin(&mut self) {
        if !self.has_begun {
            self.has_begun = true;
            if let Some(lease) = &mut self.lease {
                lease.on_first_event();
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(lease) = self.lease.take() {
            self.core.pool.discard(lease.server.key);
        }
    }
}
