//! Saturating conversions of durations and counts to integers.

use std::time::Duration;

/// Returns the whole milliseconds of a duration, saturating.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the whole microseconds of a duration, saturating.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a count to `u32`, saturating.
#[must_use]
pub fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// Converts a count to `u64`, saturating.
#[must_use]
pub fn to_u64(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}
