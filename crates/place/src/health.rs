//! Outlier ejection of backend servers, from the outcomes that this router observed.

use std::time::Duration;

/// Weight of the newest outcome in the exponentially weighted failure rate.
const FAILURE_EWMA_WEIGHT: f64 = 0.15;
/// Failure rate above which a server counts as degraded.
const DEGRADED_FAILURE_RATE: f64 = 0.3;
/// Consecutive failures after which a server is ejected.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of the first ejection; doubles with each further one until a request succeeds.
const BASE_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Outcome of a request, as it counts for the server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The response was complete.
    Success,
    /// The server returned an error, broke off its response or timed out.
    Failure,
    /// No connection could be opened.
    Unreachable,
    /// The server reported that it is at capacity; does not count as a failure.
    Full,
}

/// Failure rate and ejection state of one server.
#[derive(Debug, Default)]
pub struct Health {
    failure_rate: f64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

impl Health {
    /// Records the outcome of a request. Returns whether it ejects the server.
    pub fn on_outcome(&mut self, outcome: ServerOutcome, now: Duration) -> bool {
        match outcome {
            ServerOutcome::Success => self.on_success(),
            ServerOutcome::Failure => return self.on_failure(EJECT_AFTER_FAILURES, now),
            ServerOutcome::Unreachable => return self.on_failure(1, now),
            ServerOutcome::Full => {}
        }
        false
    }

    /// Returns whether the server is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the failure rate exceeds 0.3.
    #[must_use]
    pub fn is_degraded(&self) -> bool {
        self.failure_rate > DEGRADED_FAILURE_RATE
    }

    fn on_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT;
        self.consecutive_failures = 0;
        self.ejections = 0;
        self.ejected_until = None;
    }

    fn on_failure(&mut self, threshold: u32, now: Duration) -> bool {
        self.failure_rate += FAILURE_EWMA_WEIGHT * (1.0 - self.failure_rate);
        self.consecutive_failures += 1;
        if self.consecutive_failures < threshold || self.is_ejected(now) {
            return false;
        }
        let ejection = BASE_EJECTION
            .saturating_mul(1 << self.ejections.min(8))
            .min(MAX_EJECTION);
        self.ejections += 1;
        self.ejected_until = Some(now + ejection);
        true
    }
}
