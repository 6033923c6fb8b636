//! Bounds on what a caller may hold.

use std::time::Duration;

/// Bounds that a server puts on each connection and on all of them.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Time for a whole request head, from its first byte.
    pub head_timeout: Duration,
    /// Time for a whole request body.
    pub body_timeout: Duration,
    /// Time that a kept connection may wait for its next request.
    pub idle_timeout: Duration,
    /// Time that one write may block on a caller who doesn't read.
    pub write_timeout: Duration,
    /// Size of a request head.
    pub head_bytes: usize,
    /// Size of a request body.
    pub body_bytes: usize,
    /// Connections open at the same time.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(15),
            idle_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(10),
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            connections: 2048,
        }
    }
}
