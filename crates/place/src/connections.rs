//! How many connections to one server a router may have.

use crate::{Server, convert::part_of};

/// Part of a server's connections that all routers together use.
const USED_SHARE: f64 = 0.9;
/// Connections in use that every router may have, whatever its part.
const LEAST_BUSY: usize = 2;
/// Unused connections that are kept at most: a burst of one event interval.
const MOST_IDLE: usize = 8;

/// A router's part of a server's connections.
///
/// A balancer may send one router many times its part of the requests, so connections in use are
/// bounded by the server's slots, which all routers fill together, and not by an even part. Unused
/// ones are divided evenly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections in use.
    pub max_busy: usize,
    /// Unused connections that are kept.
    pub max_idle: usize,
}

impl ConnectionLimits {
    /// Returns the limits for a server that accepts `max_connections` from `fleet_size` routers.
    #[must_use]
    pub fn new(server: &Server, max_connections: u32, fleet_size: usize) -> Self {
        let slots = server.slots as usize;
        let used = part_of(u64::from(max_connections), USED_SHARE);
        let used = usize::try_from(used).unwrap_or(usize::MAX);
        let fleet_size = fleet_size.max(1);
        Self {
            max_busy: (used / fleet_size).max(slots).max(LEAST_BUSY),
            max_idle: (used.saturating_sub(slots) / fleet_size).min(MOST_IDLE),
        }
    }
}
