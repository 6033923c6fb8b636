//! Parameters of placement.

use std::time::Duration;

/// Thresholds and costs of admission and server selection.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Prompt tokens that an engine prefills per millisecond beside its running requests, until
    /// its speed has been measured from its responses.
    pub prefill_tokens_per_ms: f64,
    /// Time from the end of prefill to the first event.
    pub first_event_overhead: Duration,
    /// Fraction of the latency objective that the predicted time to first event may reach within a
    /// workspace's share.
    pub objective_fraction: f64,
    /// Minimum factor on `objective_fraction` and `slot_fraction` for workspaces that request more
    /// than their share, so that capacity remains for those that request less or were served less,
    /// whichever request arrives first.
    pub limited_factor: f64,
    /// Like `objective_fraction`, for late requests and those beyond the workspace's share; lower,
    /// so that capacity remains for workspaces below theirs.
    pub spare_objective_fraction: f64,
    /// Fraction of the service's minimum objective that the prompts queued before a request may
    /// take, so that large prompts leave capacity for short requests.
    pub queue_fraction: f64,
    /// Fraction of an engine's slots available to requests within the share.
    pub slot_fraction: f64,
    /// Fraction of an engine's slots available to requests beyond the share.
    pub spare_slot_fraction: f64,
    /// Fraction of an engine's memory that unfinished requests may take.
    pub memory_fraction: f64,
    /// Fraction of an engine's memory assumed to hold cached prompt parts.
    pub cache_fraction: f64,
    /// Cost of each running request on an engine, as time to first event.
    pub running_cost: Duration,
    /// Added cost of a server in another failure domain.
    pub domain_cost: Duration,
    /// Added cost of a degraded or warming-up server.
    pub degraded_cost: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 40.0,
            first_event_overhead: Duration::from_millis(30),
            objective_fraction: 0.75,
            limited_factor: 0.75,
            spare_objective_fraction: 0.3,
            queue_fraction: 0.6,
            slot_fraction: 0.5,
            spare_slot_fraction: 0.31,
            memory_fraction: 0.9,
            cache_fraction: 0.6,
            running_cost: Duration::from_millis(2),
            domain_cost: Duration::from_millis(30),
            degraded_cost: Duration::from_millis(400),
        }
    }
}
