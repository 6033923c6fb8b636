//! Token bucket of one server.

use std::time::Duration;

/// Time for which unused permits add up, beyond a single one.
const BURST_PERIOD: Duration = Duration::from_millis(500);

/// Permits that the owner of a server can give out.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    refilled_at: Duration,
}

impl Bucket {
    /// Creates an empty bucket: a former owner may just have given permits out.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Takes a permit, and leaves at least `reserve` (0 to 1) of the permits that can add up.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one.
    pub(crate) fn take(
        &mut self,
        rate_per_s: f64,
        reserve: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let spare = rate_per_s * BURST_PERIOD.as_secs_f64();
        let elapsed = now.saturating_sub(self.refilled_at);
        self.tokens = (self.tokens + rate_per_s * elapsed.as_secs_f64()).min(1.0 + spare);
        self.refilled_at = now;
        let needed = 1.0 + spare * reserve;
        // Refills in small steps may end just below a whole permit.
        if self.tokens + 1e-6 < needed {
            let wait_s = (needed - self.tokens) / rate_per_s;
            return Err(Duration::from_secs_f64(wait_s));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
