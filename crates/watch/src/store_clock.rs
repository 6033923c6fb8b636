//! The store's steady clock, by which routers date what it said to one of them.

use std::{
    sync::atomic::{AtomicI64, Ordering},
    time::Duration,
};

/// No answer has been seen.
const UNKNOWN: i64 = i64::MIN;

/// How far the host's suspension clock is ahead of the store's clock at least.
///
/// An answer that was asked for at `asked_at` cannot have been given earlier, so the difference
/// from the time that it names is a lower bound; the largest one is the best. A moment on the
/// store's clock is thus never taken for later than it was, whatever delays a message.
#[derive(Debug)]
pub struct StoreClock {
    ahead_ms: AtomicI64,
}

impl Default for StoreClock {
    fn default() -> Self {
        Self {
            ahead_ms: AtomicI64::new(UNKNOWN),
        }
    }
}

impl StoreClock {
    /// Takes an answer in.
    pub fn observe(&self, asked_at: Duration, store_time: Duration) {
        let ahead_ms = signed_millis(asked_at) - signed_millis(store_time);
        self.ahead_ms.fetch_max(ahead_ms, Ordering::Relaxed);
    }

    /// Returns the earliest moment on the suspension clock that a moment on the store's clock can
    /// have been.
    #[must_use]
    pub fn earliest(&self, store_time: Duration) -> Option<Duration> {
        let ahead_ms = self.ahead_ms.load(Ordering::Relaxed);
        if ahead_ms == UNKNOWN {
            return None;
        }
        let millis = signed_millis(store_time).checked_add(ahead_ms)?;
        u64::try_from(millis).ok().map(Duration::from_millis)
    }
}

fn signed_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX / 4)
}
