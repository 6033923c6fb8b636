//! Rates of requests to cold servers, and to those of a domain that has returned to service.

use std::time::Duration;

/// Maximum age of a permit, from the question for it, when a request is sent to a cold server. Permits
/// that wait for a connection would otherwise be used at the same time.
pub const MAX_PERMIT_AGE: Duration = Duration::from_millis(100);

/// Time from the sending of a request to its arrival, at most.
const MAX_DELIVERY: Duration = Duration::from_millis(20);
/// Part of the bound that is planned with.
const BOUND_FRACTION: f64 = 0.9;
/// Routers that may own a server at the same time.
const MAX_OWNERS: f64 = 2.0;
/// Permits that can add up at an owner of a cold server.
const BURST: f64 = 1.0;

/// Time for which the load on a domain's servers rises after it has returned to service.
const RAMP: Duration = Duration::from_secs(4);
/// Interval at which the rate doubles during [`RAMP`].
const RAMP_STEP: Duration = Duration::from_secs(1);
/// Requests a second and slot at the beginning of [`RAMP`].
const RAMP_PER_SLOT_S: f64 = 0.5;

/// Cold servers of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdService {
    /// Time for which a server is cold after its start.
    pub cold_start: Duration,
    /// Requests a second that a server can handle while it is cold.
    pub per_s: f64,
}

/// Bound on the requests that reach a cold server in any one second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Factor of [`ColdService::per_s`].
    pub overage: f64,
    /// Requests beyond that.
    pub allowance: f64,
}

impl Default for ColdBounds {
    fn default() -> Self {
        Self {
            overage: 1.5,
            allowance: 5.0,
        }
    }
}

impl ColdBounds {
    /// Returns the rate at which one owner gives out permits for a cold server of `service`.
    ///
    /// The requests of two owners that arrive in one second took their permits within that second and
    /// the age and delivery before it: `owners * (rate * (1 s + age + delivery) + burst)`. The rate makes that
    /// [`BOUND_FRACTION`] of the bound, and is no higher than what the server can handle.
    #[must_use]
    pub fn permits_per_s(self, service: ColdService) -> f64 {
        let bound = service.per_s * self.overage + self.allowance;
        let window_s = (Duration::from_secs(1) + MAX_PERMIT_AGE + MAX_DELIVERY).as_secs_f64();
        let per_s = (bound * BOUND_FRACTION / MAX_OWNERS - BURST) / window_s;
        per_s.clamp(0.0, service.per_s)
    }
}

/// Returns the rate of requests to a server with these slots, if its domain returned to service this long
/// ago and it has no cold phase.
pub(crate) fn ramp_per_s(slots: u32, since_return: Duration) -> Option<f64> {
    if since_return >= RAMP {
        return None;
    }
    let step = (since_return.as_secs_f64() / RAMP_STEP.as_secs_f64()).floor();
    Some(f64::from(slots) * RAMP_PER_SLOT_S * step.exp2())
}
