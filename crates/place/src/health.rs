//! A router's own judgement of a backend server, from the answers that it got.

use std::time::Duration;

/// Weight of the newest answer in the running share of failures.
const NEWEST_WEIGHT: f64 = 0.15;
/// Share of failures above which a server is avoided.
const AVOID_SHARE: f64 = 0.3;
/// Failures in a row after which a server is set aside.
const FAILURES_IN_A_ROW: u32 = 3;
/// First time that a server is set aside; doubled at each failure that follows.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time that a server is set aside before it is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How a request ended, as far as the server is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server answered in full.
    Success,
    /// The server failed, broke off or fell silent.
    Failure,
    /// No connection could be opened.
    Unreachable,
    /// The server said that it is full.
    Full,
}

/// Running judgement of one server.
#[derive(Debug, Default)]
pub struct Health {
    failure_share: f64,
    failures_in_a_row: u32,
    pauses: u32,
    aside_until: Option<Duration>,
}

impl Health {
    /// Takes the end of a request in. Returns whether the server is set aside because of it.
    pub fn on_outcome(&mut self, outcome: ServerOutcome, now: Duration) -> bool {
        match outcome {
            ServerOutcome::Success => self.on_success(),
            ServerOutcome::Failure => return self.on_failure(FAILURES_IN_A_ROW, now),
            ServerOutcome::Unreachable => return self.on_failure(1, now),
            ServerOutcome::Full => {}
        }
        false
    }

    /// Tells whether the server is set aside.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.aside_until.is_some_and(|until| now < until)
    }

    /// Tells whether the server fails often.
    #[must_use]
    pub fn is_degraded(&self) -> bool {
        self.failure_share > AVOID_SHARE
    }

    fn on_success(&mut self) {
        self.failure_share *= 1.0 - NEWEST_WEIGHT;
        self.failures_in_a_row = 0;
        self.pauses = 0;
        self.aside_until = None;
    }

    fn on_failure(&mut self, bound: u32, now: Duration) -> bool {
        self.failure_share += NEWEST_WEIGHT * (1.0 - self.failure_share);
        self.failures_in_a_row += 1;
        if self.failures_in_a_row < bound || self.is_ejected(now) {
            return false;
        }
        let pause = FIRST_PAUSE
            .saturating_mul(1 << self.pauses.min(8))
            .min(LONGEST_PAUSE);
        self.pauses += 1;
        self.aside_until = Some(now + pause);
        true
    }
}
