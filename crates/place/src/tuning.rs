//! Parameters of placement.

use std::time::Duration;

/// Bound on the requests that run on an engine.
///
/// Each running request slows the tokens of the others and takes memory from cached prompts, which
/// limits engines with many slots. Engines with few slots are limited by those.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunningBound {
    /// Maximum number of running requests, whatever the number of slots.
    pub max_running: f64,
    /// Maximum fraction of the slots in use.
    pub slot_fraction: f64,
}

impl RunningBound {
    /// Returns the bound for an engine with this many slots.
    #[must_use]
    pub fn for_slots(self, slots: u32) -> f64 {
        self.max_running.min(f64::from(slots) * self.slot_fraction)
    }
}

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
    /// Minimum factor on `objective_fraction` and `running_bound` for workspaces that request more
    /// than their share, so that capacity remains for those that request less or were served less,
    /// whichever request arrives first.
    pub limited_factor: f64,
    /// Like `objective_fraction`, for late requests and those beyond the workspace's share; lower,
    /// so that capacity remains for workspaces below theirs.
    pub spare_objective_fraction: f64,
    /// Fraction of the service's minimum objective that the prompts queued before a request may
    /// take, so that large prompts leave capacity for short requests.
    pub queue_fraction: f64,
    /// Bound on an engine's running requests for requests within the share.
    pub running_bound: RunningBound,
    /// Bound on an engine's running requests for requests beyond the share.
    pub spare_running_bound: RunningBound,
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
    /// Added cost of a server to which a connection has to be opened: a round trip and the work of
    /// both sides.
    pub connection_cost: Duration,
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
            running_bound: RunningBound {
                max_running: 32.0,
                slot_fraction: 0.92,
            },
            spare_running_bound: RunningBound {
                max_running: 20.0,
                slot_fraction: 0.75,
            },
            memory_fraction: 0.9,
            cache_fraction: 0.6,
            running_cost: Duration::from_millis(2),
            domain_cost: Duration::from_millis(30),
            degraded_cost: Duration::from_millis(400),
            connection_cost: Duration::from_millis(3),
        }
    }
}
