//! Exponential backoff with jitter.

use {rand::Rng, std::time::Duration};

/// Exponential backoff. Jitter keeps hosts that lost the store together from retrying together.
#[derive(Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose pauses double from `initial` up to `max`; jitter scales each by a
    /// factor from 0.5 to 1.
    #[must_use]
    pub fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Resets the pause to the initial one, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the pause before the next retry, and doubles the one after it.
    pub fn next_pause(&mut self, random: &mut impl Rng) -> Duration {
        let pause = self
            .initial
            .saturating_mul(1 << self.failures.min(16))
            .min(self.max);
        self.failures += 1;
        pause.mul_f64(random.random_range(0.5..1.0))
    }
}
