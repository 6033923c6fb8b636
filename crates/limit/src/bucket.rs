//! Token bucket of one server.

use std::time::Duration;

/// Time for which unused permits add up, beyond a single one.
const BURST_PERIOD: Duration = Duration::from_millis(500);

/// Time without permits after the owner of a cold server has begun to give them out. The requests that were
/// sent before the server was known to be cold, or with permits of a former owner, arrive in it.
const COLD_PAUSE: Duration = Duration::from_secs(1);

/// Rate at which permits are given out, and how many can add up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct PermitRate {
    pub(crate) per_s: f64,
    /// Whether the server is cold: no more than one permit adds up.
    pub(crate) is_cold: bool,
}

impl PermitRate {
    /// Permits that can add up beyond a single one.
    fn spare(self) -> f64 {
        if self.is_cold {
            0.0
        } else {
            self.per_s * BURST_PERIOD.as_secs_f64()
        }
    }
}

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

    /// Creates an empty bucket that fills after [`COLD_PAUSE`].
    pub(crate) fn new_cold(now: Duration) -> Self {
        Self::new(now + COLD_PAUSE)
    }

    /// Takes a permit, and leaves at least `reserve` (0 to 1) of the permits that can add up.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one.
    pub(crate) fn take(
        &mut self,
        rate: PermitRate,
        reserve: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let pause = self.refilled_at.saturating_sub(now);
        if !pause.is_zero() {
            return Err(pause + Duration::from_secs_f64(1.0 / rate.per_s));
        }
        let (rate_per_s, spare) = (rate.per_s, rate.spare());
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
