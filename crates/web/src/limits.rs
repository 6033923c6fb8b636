//! Limits on the resources that callers may use.

use std::time::Duration;

/// Limits of a server for each connection and for all connections together.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum time to receive a request head, from its first byte.
    pub head_timeout: Duration,
    /// Maximum time to receive a request body.
    pub body_timeout: Duration,
    /// Maximum idle time of a connection before its next request.
    pub idle_timeout: Duration,
    /// Maximum time that one write may block on a caller that doesn't read.
    pub write_timeout: Duration,
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum number of open connections.
    pub max_connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(15),
            idle_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(10),
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            max_connections: 2048,
        }
    }
}
