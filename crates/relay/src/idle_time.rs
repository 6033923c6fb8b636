//! Time for which the traffic thread waits for work.

use {
    baobab_unit::micros,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::runtime::Builder,
};

/// Sum of the times for which the traffic thread was parked.
#[derive(Debug, Clone)]
pub struct IdleTime(Arc<Times>);

#[derive(Debug)]
struct Times {
    created_at: Instant,
    parked_at_us: AtomicU64,
    idle_us: AtomicU64,
}

impl Times {
    fn now_us(&self) -> u64 {
        micros(self.created_at.elapsed())
    }
}

impl IdleTime {
    /// Starts with no idle time.
    #[must_use]
    pub fn new() -> Self {
        Self(Arc::new(Times {
            created_at: Instant::now(),
            parked_at_us: AtomicU64::new(0),
            idle_us: AtomicU64::new(0),
        }))
    }

    /// Observes when the runtime of `builder`, which has a single thread, waits for work.
    pub fn observe(&self, builder: &mut Builder) {
        let parked = Arc::clone(&self.0);
        let unparked = Arc::clone(&self.0);
        builder
            .on_thread_park(move || {
                parked
                    .parked_at_us
                    .store(parked.now_us(), Ordering::Relaxed);
            })
            .on_thread_unpark(move || {
                let parked_at_us = unparked.parked_at_us.load(Ordering::Relaxed);
                let idle_us = unparked.now_us().saturating_sub(parked_at_us);
                unparked.idle_us.fetch_add(idle_us, Ordering::Relaxed);
            });
    }

    /// Returns the idle time so far.
    #[must_use]
    pub fn total(&self) -> Duration {
        Duration::from_micros(self.0.idle_us.load(Ordering::Relaxed))
    }
}
