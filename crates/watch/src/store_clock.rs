//! Conversion from the store's monotonic clock to the host's suspension clock.

use std::{
    sync::atomic::{AtomicI64, Ordering},
    time::Duration,
};

/// No response has been observed.
const UNKNOWN: i64 = i64::MIN;

/// Lower bound of the host's suspension clock minus the store's clock.
///
/// The store cannot have responded before the call was sent at `sent_at`, so `sent_at` minus the
/// response's `store_time` is a lower bound; the largest one is the tightest. A time on the store's
/// clock is thus never converted to a later time than the actual one, however long a message takes.
///
/// Nor can a time of the store be received before it was read from the store's clock, so the time
/// of receipt minus `store_time` is an upper bound. A lower bound above it dates from before a
/// forward step of the store's clock and is replaced.
#[derive(Debug)]
pub struct StoreClock {
    min_offset_ms: AtomicI64,
}

impl Default for StoreClock {
    fn default() -> Self {
        Self {
            min_offset_ms: AtomicI64::new(UNKNOWN),
        }
    }
}

impl StoreClock {
    /// Records the store's time in the response to a call sent at `sent_at`.
    pub fn observe(&self, sent_at: Duration, received_at: Duration, store_time: Duration) {
        self.limit(received_at, store_time);
        let offset_ms = signed_millis(sent_at) - signed_millis(store_time);
        self.min_offset_ms.fetch_max(offset_ms, Ordering::Relaxed);
    }

    /// Records that a message received at `received_at` contains a time of the store, whoever has
    /// read it there.
    pub fn limit(&self, received_at: Duration, store_time: Duration) {
        let max_offset_ms = signed_millis(received_at) - signed_millis(store_time);
        self.min_offset_ms
            .fetch_min(max_offset_ms, Ordering::Relaxed);
    }

    /// Returns the earliest time on the suspension clock that a time on the store's clock can
    /// correspond to; `None` before the first response, or if it lies before the host's boot.
    #[must_use]
    pub fn earliest(&self, store_time: Duration) -> Option<Duration> {
        let min_offset_ms = self.min_offset_ms.load(Ordering::Relaxed);
        if min_offset_ms == UNKNOWN {
            return None;
        }
        let millis = signed_millis(store_time).checked_add(min_offset_ms)?;
        u64::try_from(millis).ok().map(Duration::from_millis)
    }
}

fn signed_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX / 4)
}
