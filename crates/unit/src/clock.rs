//! The monotonic clock that decisions are given their time from.

use std::time::{Duration, Instant};

/// Monotonic time since the process started.
///
/// Decisions take a `Duration` instead of an `Instant`, so that a recorded trace can be replayed.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the clock started.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}
