//! The suspension clock, which continues while the host is suspended.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::Duration,
};

/// Returns the time since boot, including suspension. Leases are measured on it, because the
/// monotonic clock stops while a host is suspended.
#[must_use]
pub fn suspension_clock() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
