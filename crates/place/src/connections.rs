//! Limits on a router's connections to one server.

use crate::{Server, convert::fraction_of};

/// Fraction of a server's accepted connections that all routers together use.
const USABLE_FRACTION: f64 = 0.9;
/// Minimum limit on connections in use, however many routers there are.
const MIN_BUSY: usize = 2;
/// Maximum number of idle connections: a burst of one event interval.
const MAX_IDLE: usize = 8;

/// Maximum number of idle connections that are kept for longer than a burst. A second one serves
/// requests that overlap.
const MAX_LONG_IDLE: usize = 2;

/// Limits on one router's connections to one server.
///
/// A load balancer may send one router many times its even part of the requests, so connections in
/// use are bounded by the server's slots, which all routers share, rather than divided evenly. Idle
/// ones are divided evenly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections in use.
    pub max_busy: usize,
    /// Maximum number of idle connections kept open.
    pub max_idle: usize,
}

impl ConnectionLimits {
    /// Returns the limits for a server that accepts `max_connections` from `fleet_size` routers.
    #[must_use]
    pub fn new(server: &Server, max_connections: u32, fleet_size: usize) -> Self {
        let slots = server.slots as usize;
        let usable = fraction_of(u64::from(max_connections), USABLE_FRACTION);
        let usable = usize::try_from(usable).unwrap_or(usize::MAX);
        let fleet_size = fleet_size.max(1);
        Self {
            max_busy: (usable / fleet_size).max(slots).max(MIN_BUSY),
            max_idle: (usable.saturating_sub(slots) / fleet_size).min(MAX_IDLE),
        }
    }
    /// Returns the maximum number of idle connections that are kept for longer than a burst: at most half
    /// of the idle ones, because servers with a long queue accept fewer, but one if any.
    #[must_use]
    pub fn max_long_idle(self) -> usize {
        (self.max_idle / 2)
            .clamp(1, MAX_LONG_IDLE)
            .min(self.max_idle)
    }
}
