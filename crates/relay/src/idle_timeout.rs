//! Idle timeouts of backend servers, as observed by the connections that they close.

use std::time::Duration;

/// Deviation of an observed idle time: by the network's latency and by delays of this process.
const TOLERANCE: Duration = Duration::from_millis(100);

/// The idle times after which a server has closed connections.
///
/// A server that ends closes all connections, whatever their idle time. One that is sound closes
/// those that reach its idle timeout, which it need not state. Only the latter repeats itself.
#[derive(Debug, Default)]
pub struct ObservedIdleTimeout {
    range: Option<(Duration, Duration)>,
}

impl ObservedIdleTimeout {
    /// Records that the server closed a connection that had been idle for `idle_for`. Returns whether
    /// the idle timeout observed so far explains that; if not, the server may have ended.
    pub fn on_closed(&mut self, idle_for: Duration) -> bool {
        let Some((min, max)) = &mut self.range else {
            self.range = Some((idle_for, idle_for));
            return false;
        };
        let is_explained = idle_for + TOLERANCE >= *min && idle_for <= *max + TOLERANCE;
        *min = idle_for.min(*min);
        *max = idle_for.max(*max);
        is_explained
    }

    /// Records that a connection is still open after having been idle for `idle_for`. Forgets what was
    /// observed if the server would have closed it by then.
    pub fn on_open(&mut self, idle_for: Duration) {
        if self
            .range
            .is_some_and(|(_, max)| idle_for > max + TOLERANCE)
        {
            self.range = None;
        }
    }
}
