//! Times as the costs of servers are worked out.

use std::time::Duration;

/// Returns a time in milliseconds, with their fractions.
pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
