//! Idle timeouts of backend servers, as observed by the connections that they close.

use {
    std::{collections::VecDeque, time::Duration},
    tokio::time::Instant,
};

/// Deviation of an observed idle time: by the network's latency and by delays of this process.
const TOLERANCE: Duration = Duration::from_millis(100);
/// Minimum idle timeout of a server. Connections in steady use are idle for less when their server ends.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(250);
/// Closures within this time are one occasion: a server that ends closes all connections together.
const OCCASION: Duration = Duration::from_millis(300);
/// Earlier occasions on which connections were closed after the same idle time, so that it counts as
/// the server's idle timeout.
const MIN_OCCASIONS: usize = 2;
/// Maximum number of kept observations.
const MAX_OBSERVATIONS: usize = 8;

#[derive(Debug, Clone, Copy)]
struct Observation {
    closed_at: Instant,
    idle_for: Duration,
}

/// The idle times after which a server has closed connections.
///
/// A server that ends closes all connections, whatever their idle time. One that is sound closes
/// those that reach its idle timeout, which it need not state. Only the latter repeats itself.
#[derive(Debug, Default)]
pub struct ObservedIdleTimeout {
    observations: VecDeque<Observation>,
}

impl ObservedIdleTimeout {
    /// Records that the server closed a connection that had been idle for `idle_for`, as seen at `now`.
    /// Returns whether its idle timeout, as observed so far, explains that; if not, the server may have
    /// ended.
    pub fn on_closed(&mut self, idle_for: Duration, now: Instant) -> bool {
        let is_earlier =
            |observation: &&Observation| now.duration_since(observation.closed_at) > OCCASION;
        let mut counted_at = None;
        let mut occasions = 0;
        for observation in self.observations.iter().filter(is_earlier) {
            let is_same_time = observation.idle_for.abs_diff(idle_for) <= TOLERANCE;
            let is_new = counted_at.is_none_or(|at| observation.closed_at - at > OCCASION);
            if is_same_time && is_new {
                counted_at = Some(observation.closed_at);
                occasions += 1;
            }
        }
        if self.observations.len() == MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
        self.observations.push_back(Observation {
            closed_at: now,
            idle_for,
        });
        idle_for >= MIN_IDLE_TIMEOUT && occasions >= MIN_OCCASIONS
    }

    /// Records that a connection is still open after having been idle for `idle_for`. Forgets what was
    /// observed if the server would have closed it by then.
    pub fn on_open(&mut self, idle_for: Duration) {
        self.observations
            .retain(|observation| idle_for <= observation.idle_for + TOLERANCE);
    }
}
