//! The monotonic clock whose time is passed to decisions.

use std::time::{Duration, Instant};

/// Monotonic clock that starts at zero.
///
/// Decisions take a `Duration` rather than an `Instant`, so that a recorded trace can be replayed.
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
