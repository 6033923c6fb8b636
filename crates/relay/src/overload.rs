//! Detects overload of the router's own processor.
//!
//! A balancer may send one router many times its part of the traffic. Such a router reports that
//! it is not ready, so that new connections go to other routers, and refuses streams at once
//! instead of serving them late.

use std::time::Duration;

/// Weight of the newest delay in the moving average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Mean timer delay above which new connections should go to other routers: a large part of the
/// shortest usual latency objective.
const OVERLOAD_DELAY: Duration = Duration::from_millis(60);
/// Mean delay above which streams of workspaces that request more than their share are refused.
const HIGH_DELAY: Duration = Duration::from_millis(120);
/// Mean delay above which all streams are refused: less than half of a usual objective is left.
const SEVERE_DELAY: Duration = Duration::from_millis(300);
/// Mean delay below which the overload ends.
const RECOVERED_DELAY: Duration = Duration::from_millis(15);
/// Minimum duration of an overload, so that readiness does not change with each health check.
const MIN_OVERLOAD_TIME: Duration = Duration::from_secs(3);

/// Minimum delay of a timer that shows that the process has stood still: long enough for a backend server
/// to end and start again.
const MIN_PAUSE: Duration = Duration::from_millis(300);

/// Detects overload by how late timers fire.
#[derive(Debug, Default)]
pub struct Overload {
    mean_delay: Duration,
    overloaded_since: Option<Duration>,
    /// When the process stood still last.
    paused_until: Option<Duration>,
}

impl Overload {
    /// Records how late a timer fired. Returns whether an overload has begun or ended.
    pub fn on_delay(&mut self, delay: Duration, now: Duration) -> bool {
        if delay >= MIN_PAUSE {
            self.paused_until = Some(now);
        }
        self.mean_delay =
            self.mean_delay.mul_f64(1.0 - NEWEST_WEIGHT) + delay.mul_f64(NEWEST_WEIGHT);
        match self.overloaded_since {
            None if self.mean_delay > OVERLOAD_DELAY => {
                self.overloaded_since = Some(now);
                true
            }
            Some(since)
                if self.mean_delay < RECOVERED_DELAY
                    && now.saturating_sub(since) >= MIN_OVERLOAD_TIME =>
            {
                self.overloaded_since = None;
                true
            }
            _ => false,
        }
    }

    /// Whether the process has stood still until a moment after `since`.
    #[must_use]
    pub fn has_paused_since(&self, since: Duration) -> bool {
        self.paused_until.is_some_and(|until| until >= since)
    }

    /// Returns the moving average of the timer delays.
    #[must_use]
    pub fn mean_delay(&self) -> Duration {
        self.mean_delay
    }

    /// Whether new connections should go to other routers.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.overloaded_since.is_some()
    }

    /// Returns how long a server took to answer, of the time that passed here: without this router's own
    /// delay. None while that is too long to tell.
    #[must_use]
    pub fn server_time(&self, elapsed: Duration) -> Option<Duration> {
        (!self.is_overloaded()).then(|| elapsed.saturating_sub(self.mean_delay))
    }

    /// Whether streams are refused. Workspaces within their share (`is_modest`) are refused only at
    /// a higher delay.
    #[must_use]
    pub fn refuses_streams(&self, is_modest: bool) -> bool {
        self.mean_delay > if is_modest { SEVERE_DELAY } else { HIGH_DELAY }
    }
}
