//! Numeric conversions.

use std::time::Duration;

/// Returns a duration in fractional milliseconds.
pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Returns `fraction` times `count`, rounded down.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn fraction_of(count: u64, fraction: f64) -> u64 {
    (count as f64 * fraction) as u64
}
