//! Detects overload of the router's own processor.
//!
//! A balancer may send one router many times its part of the traffic. Such a router reports that
//! it is not ready, so that new connections go to other routers, and refuses requests at once
//! instead of serving them late. In a large fleet it refuses a part of them earlier, as many as keep its
//! delay short, since other routers have time for them.

use std::time::Duration;

/// Weight of the newest delay in the moving average.
const NEWEST_WEIGHT: f64 = 0.2;
/// Mean timer delay above which new connections should go to other routers: a large part of the
/// shortest usual latency objective.
const OVERLOAD_DELAY: Duration = Duration::from_millis(60);
/// Mean delay above which the requests of workspaces that exceed their part of the router's time are refused.
const HIGH_DELAY: Duration = Duration::from_millis(120);
/// Mean delay above which those that are not owed to their workspace are refused, too: less than half of a usual
/// objective is left.
const SEVERE_DELAY: Duration = Duration::from_millis(300);
/// Mean delay below which the overload ends.
const RECOVERED_DELAY: Duration = Duration::from_millis(15);
/// Timer delay that the shed fraction is to keep: a small part of the shortest usual objective, so that a request
/// that is refused here is still on time at another router.
const SHED_TARGET_DELAY: Duration = Duration::from_millis(25);
/// Time within which the work beyond the target delay is to be done.
const SHED_DRAIN_TIME: Duration = Duration::from_millis(400);
/// Utilisation that is aimed at while streams are shed, as estimates of the work are rough.
const SHED_UTILISATION: f64 = 0.95;
/// Minimum utilisation that is left to streams while work is waiting.
const MIN_SHED_UTILISATION: f64 = 0.1;
/// Weight of the newest estimate in the shed fraction. One late timer alone may have other causes.
const SHED_WEIGHT: f64 = 0.85;
/// Factor on the shed fraction with each timer within the target delay.
const SHED_DECAY: f64 = 0.8;
/// Fraction below which nothing is shed.
const MIN_SHED_FRACTION: f64 = 0.01;
/// Maximum fraction of the streams that are shed, so that there is always some work to measure the delay by.
const MAX_SHED_FRACTION: f64 = 0.95;
/// Shed fraction from which new connections should go to other routers.
const SHED_OVERLOAD_FRACTION: f64 = 0.1;
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
    /// Fraction of the streams that other routers have to serve.
    shed_fraction: f64,
    /// The last timer: when it fired, and its delay.
    last_timer: Option<(Duration, Duration)>,
    /// When the shed fraction was last above [`SHED_OVERLOAD_FRACTION`].
    shed_at: Option<Duration>,
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
        self.adapt_shed_fraction(delay, now);
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

    /// Records that connections were turned away unread.
    pub fn on_turned_away(&mut self, now: Duration) {
        self.shed_at = Some(now);
    }

    /// Returns the fraction of the streams that is shed.
    #[must_use]
    pub fn shed_fraction(&self) -> f64 {
        self.shed_fraction
    }

    /// Whether so much is shed, or was a moment ago, that new connections should go to other routers.
    #[must_use]
    pub fn sheds_connections(&self, now: Duration) -> bool {
        self.shed_at
            .is_some_and(|at| now.saturating_sub(at) < MIN_OVERLOAD_TIME)
    }

    /// Estimates the work that arrives from the growth of the delay, and sheds what the processor cannot do.
    fn adapt_shed_fraction(&mut self, delay: Duration, now: Duration) {
        let (last_at, last_delay) = self.last_timer.unwrap_or((now, delay));
        self.last_timer = Some((now, delay));
        if delay <= SHED_TARGET_DELAY {
            self.shed_fraction *= SHED_DECAY;
            if self.shed_fraction < MIN_SHED_FRACTION {
                self.shed_fraction = 0.0;
            }
        } else if now > last_at {
            let elapsed_s = now.saturating_sub(last_at).as_secs_f64();
            let growth = (delay.as_secs_f64() - last_delay.as_secs_f64()) / elapsed_s;
            let offered = (1.0 + growth).max(MIN_SHED_UTILISATION) / (1.0 - self.shed_fraction);
            let backlog = delay.saturating_sub(SHED_TARGET_DELAY);
            let excess = backlog.div_duration_f64(SHED_DRAIN_TIME);
            let wanted = (SHED_UTILISATION - excess).max(MIN_SHED_UTILISATION);
            let estimate = (1.0 - wanted / offered).clamp(0.0, MAX_SHED_FRACTION);
            self.shed_fraction += SHED_WEIGHT * (estimate - self.shed_fraction);
        }
        if self.shed_fraction > SHED_OVERLOAD_FRACTION {
            self.shed_at = Some(now);
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

    /// Whether a request is refused for the mean delay. `exceeds_part` says whether its workspace sends more than its
    /// part of what this router has time for, `is_owed` whether it gets less than it is owed over all routers, or
    /// requests less than its share.
    #[must_use]
    pub fn refuses(&self, exceeds_part: bool, is_owed: bool) -> bool {
        (exceeds_part && self.mean_delay > HIGH_DELAY)
            || (!is_owed && self.mean_delay > SEVERE_DELAY)
    }
}
