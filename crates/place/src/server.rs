//! Backend servers as they are announced.

use std::{net::SocketAddr, time::Duration};

/// Identity of one run of a backend server.
pub type ServerId = String;
/// Short form of a server's identity, the same on every router.
pub type ServerKey = u32;

/// What a backend server has announced of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Identity of this run.
    pub id: ServerId,
    /// Short form of the identity.
    pub key: ServerKey,
    /// Service that it belongs to.
    pub service: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs together.
    pub slots: u32,
    /// Whether it is about to leave and must get no new work.
    pub is_leaving: bool,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
    /// Moment of its start in Unix milliseconds, where it says so.
    pub started_unix_ms: Option<u64>,
}
