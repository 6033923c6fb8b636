//! Settings of the traffic thread.

use {
    baobab_availability::ColdBounds,
    baobab_place::Tuning,
    std::{net::SocketAddr, time::Duration},
};

/// Limits set by the deployment; may change at run time.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// How long keys are accepted after the configuration was last confirmed.
    pub key_lease: Duration,
    /// Retries allowed per request to a service.
    pub retry_ratio: f64,
    /// Additional retries allowed to the fleet per window.
    pub retry_allowance: f64,
    /// Window of `retry_ratio` and `retry_allowance`.
    pub retry_window: Duration,
    /// Time from the signal of a planned stop to the kill.
    pub grace: Duration,
    /// Time within which servers whose announcements expired are announced again.
    pub registry_settle: Duration,
    /// Bound on the requests to a cold server.
    pub cold: ColdBounds,
}

/// Settings of one router.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the router's host.
    pub host: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the balancer's health checks.
    pub health_address: SocketAddr,
    /// Path of the health check.
    pub health_path: String,
    /// UDP address for gossip.
    pub gossip_address: SocketAddr,
    /// Address that serves metrics.
    pub metrics_address: SocketAddr,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of callers' connections, derived from the file descriptor limit.
    pub max_connections: usize,
    /// Initial limits of the deployment.
    pub bounds: Bounds,
    /// Parameters of placement.
    pub tuning: Tuning,
}
