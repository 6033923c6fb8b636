//! Delay after which a refused caller should retry.
//!
//! If all callers of a refused burst retried at the same time, they would be refused together
//! again. Random delays spread the retries over the time that callers are willing to wait.

use std::time::Duration;

/// Callers retry only if the delay is at most this fraction of their remaining time.
const MAX_DELAY_FRACTION: f64 = 1.0 / 3.0;
/// One round trip between failure domains.
const MIN_DELAY: Duration = Duration::from_millis(50);

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RefusalCause {
    /// All servers are busy; the workspace is within its share.
    Busy {
        /// Time until capacity is expected.
        available_in: Duration,
    },
    /// The workspace has used its share.
    OverShare,
    /// A condition that is expected to last this long.
    Temporary(Duration),
}

/// Returns the delay before a retry; `random_fraction` in `0.0..1.0` spreads the retries.
#[must_use]
pub fn retry_after(cause: RefusalCause, time_left: Duration, random_fraction: f64) -> Duration {
    let max_delay = time_left.mul_f64(MAX_DELAY_FRACTION * 0.97);
    let delay = match cause {
        RefusalCause::Busy { available_in } => {
            available_in + max_delay.mul_f64(0.5 + 0.5 * random_fraction)
        }
        RefusalCause::OverShare => max_delay.mul_f64(0.5 + 0.5 * random_fraction),
        RefusalCause::Temporary(time) => time.mul_f64(1.0 + random_fraction),
    };
    delay.min(max_delay).max(MIN_DELAY)
}
