//! Announcements of backend servers.

use std::{net::SocketAddr, time::Duration};

/// Identity of one run of a backend server, as announced.
pub type ServerId = String;
/// Short form of a [`ServerId`], the same on every router.
pub type ServerKey = u32;

/// Version of a backend server's software, as it announces it; versions have no order.
pub type SoftwareVersion = String;

/// A backend server's announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Identity of this run.
    pub id: ServerId,
    /// Short form of `id`.
    pub key: ServerKey,
    /// Name of the service.
    pub service: String,
    /// Version of its software.
    pub software_version: SoftwareVersion,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Name of the failure domain.
    pub domain: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining and must get no new requests.
    pub is_leaving: bool,
    /// Remaining warm-up time, during which it is slow; zero once warm.
    pub warm_up: Duration,
    /// Start time in Unix milliseconds, if announced.
    pub started_unix_ms: Option<u64>,
}
