//! The interface to plain services.

use std::net::SocketAddr;

/// A request to a service.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Media type of the body.
    pub content_type: String,
    /// The caller's idempotency key, passed on where it is given.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// No connection could be made; no byte was sent.
    NotSent,
    /// The service answered.
    Answered {
        /// Status.
        status: u16,
        /// Media type.
        content_type: String,
        /// Body.
        body: Vec<u8>,
    },
    /// Something may have been sent and no whole answer came.
    Lost,
}

/// A way to services.
pub trait ServiceClient: Send + Sync {
    /// Sends a request once.
    fn call(&self, address: SocketAddr, request: &CallRequest) -> CallOutcome;
}
