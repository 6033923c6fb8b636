//! Fires if a server sends nothing for so long that another one is asked.

use {
    baobab_routing::Route,
    std::{
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Instant, Sleep, sleep_until},
};

/// Minimum time without an event before another server is asked to resume a resumable stream. An
/// engine that repeats the prefill of a preempted request sends nothing for that long.
const MIN_TIMEOUT: Duration = Duration::from_millis(1200);
/// The same, as a multiple of the gap objective. The longer timeout applies.
const GAP_FACTOR: u32 = 3;

/// The timer of one stream.
#[derive(Debug)]
pub struct SilenceTimer {
    sleep: Pin<Box<Sleep>>,
    timeout: Duration,
}

impl SilenceTimer {
    /// Starts the timer of a stream whose first event is awaited.
    #[must_use]
    pub fn start(route: &Route) -> Self {
        let first_timeout = MIN_TIMEOUT.max(route.objective * 2);
        Self {
            sleep: Box::pin(sleep_until(Instant::now() + first_timeout)),
            timeout: MIN_TIMEOUT.max(route.gap_objective * GAP_FACTOR),
        }
    }

    /// Starts again, after an event.
    pub fn reset(&mut self) {
        self.sleep.as_mut().reset(Instant::now() + self.timeout);
    }

    /// Waits until the server has been silent for the timeout.
    pub fn poll(&mut self, context: &mut Context) -> Poll<()> {
        self.sleep.as_mut().poll(context)
    }
}
