//! Whether the router's own processor keeps up.
//!
//! Answers a balancer that sends one router many times its part: the router says that it is not
//! ready, so that new connections go to its neighbours, and refuses streams at once instead of
//! reading them late.

use std::time::Duration;

/// Weight of the newest delay.
const NEWEST_WEIGHT: f64 = 0.2;
/// Mean delay of timers above which new connections should go elsewhere: a good part of the
/// shortest usual objective.
const CROWDED: Duration = Duration::from_millis(60);
/// Mean delay above which streams of workspaces that ask for more than their share are refused.
const OVERLOADED: Duration = Duration::from_millis(120);
/// Mean delay above which all streams are refused: with less than half of a usual objective left.
const FLOODED: Duration = Duration::from_millis(300);
/// Mean delay below which the router has recovered.
const RECOVERED: Duration = Duration::from_millis(15);
/// Time that new connections go elsewhere at least, so that they do not come and go with each question.
const LEAST_PAUSE: Duration = Duration::from_secs(3);

/// Judges by how late timers fire.
#[derive(Debug, Default)]
pub struct Overload {
    mean_delay: Duration,
    crowded_since: Option<Duration>,
}

impl Overload {
    /// Takes in how late a timer has fired. Returns whether the judgement has changed.
    pub fn on_delay(&mut self, delay: Duration, now: Duration) -> bool {
        self.mean_delay =
            self.mean_delay.mul_f64(1.0 - NEWEST_WEIGHT) + delay.mul_f64(NEWEST_WEIGHT);
        match self.crowded_since {
            None if self.mean_delay > CROWDED => {
                self.crowded_since = Some(now);
                true
            }
            Some(since)
                if self.mean_delay < RECOVERED && now.saturating_sub(since) >= LEAST_PAUSE =>
            {
                self.crowded_since = None;
                true
            }
            _ => false,
        }
    }

    /// Returns the mean delay.
    #[must_use]
    pub fn mean_delay(&self) -> Duration {
        self.mean_delay
    }

    /// Tells whether new connections should go elsewhere.
    #[must_use]
    pub fn is_congested(&self) -> bool {
        self.crowded_since.is_some()
    }

    /// Tells whether streams are refused: those of workspaces that ask for more than their share
    /// before the others.
    #[must_use]
    pub fn refuses_streams(&self, is_modest: bool) -> bool {
        self.mean_delay > if is_modest { FLOODED } else { OVERLOADED }
    }
}
