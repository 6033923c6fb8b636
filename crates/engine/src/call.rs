//! Interface to plain services.

use std::net::SocketAddr;

/// A request to a service.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query of the request line.
    pub target: String,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Idempotency key of the caller, forwarded to the service.
    pub idempotency_key: Option<String>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Result of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// No connection could be made; no byte was sent.
    NotSent,
    /// The service returned a complete response.
    Responded {
        /// HTTP status code.
        status: u16,
        /// Value of `Content-Type`.
        content_type: String,
        /// Complete body.
        body: Vec<u8>,
    },
    /// Bytes may have been sent, and no complete response arrived.
    Lost,
}

/// Client of services.
pub trait ServiceClient: Send + Sync {
    /// Sends a request once, without retries.
    fn call(&self, address: SocketAddr, request: &CallRequest) -> CallOutcome;
}
