//! Pauses between failed calls.

use {rand::Rng, std::time::Duration};

/// Exponential pauses with jitter, so that many hosts that lost the store together do not come
/// back together.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
}

impl Backoff {
    /// Starts with pauses around `first`, which double up to `longest`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            failures: 0,
        }
    }

    /// Notes a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the pause after a failure.
    pub fn next_pause(&mut self, random: &mut impl Rng) -> Duration {
        let pause = self
            .first
            .saturating_mul(1 << self.failures.min(16))
            .min(self.longest);
        self.failures += 1;
        pause.mul_f64(random.random_range(0.5..1.0))
    }
}
