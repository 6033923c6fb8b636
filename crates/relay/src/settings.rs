//! What the traffic thread is started with.

use {
    baobab_place::Tuning,
    std::{net::SocketAddr, time::Duration},
};

/// Bounds that the deployment sets; they may change while the router runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Time for which the confirmation of a configuration lets keys be accepted.
    pub key_lease: Duration,
    /// Repeats that are allowed for each request of a service.
    pub retry_ratio: f64,
    /// Repeats that the fleet is allowed besides, in each window.
    pub retry_allowance: f64,
    /// Window of the two above.
    pub retry_window: Duration,
    /// Time from the signal of a planned stop to the kill.
    pub grace: Duration,
    /// Time within which servers whose announcements lapsed are announced again.
    pub registry_settle: Duration,
}

/// Settings of one router.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the router is ready.
    pub readiness: SocketAddr,
    /// Path of that question.
    pub readiness_path: String,
    /// Where routers send each other datagrams.
    pub peers: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that connections may use.
    pub connections: usize,
    /// Bounds of the deployment.
    pub bounds: Bounds,
    /// Figures of placement.
    pub tuning: Tuning,
}
