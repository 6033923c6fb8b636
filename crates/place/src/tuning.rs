//! Figures that placement goes by.

use std::time::Duration;

/// How engines are filled.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Prompt tokens that an engine reads in a millisecond beside its running requests, before
    /// its own answers have shown its speed.
    pub prefill_tokens_per_ms: f64,
    /// Time from reading the whole prompt to the first event.
    pub first_event_overhead: Duration,
    /// Share of the objective that the foretold first event may take within a workspace's share.
    pub admit_share: f64,
    /// Least part of these bounds that holds for workspaces that ask for more than their share, so
    /// that those that ask for less, or have got less, find room whoever asks first.
    pub limited_share: f64,
    /// The same beyond the workspace's share, so that room is left for those below theirs.
    pub spare_share: f64,
    /// Share of the service's least objective that the prompts before a request may take, so that
    /// large prompts leave room for quick questions.
    pub queue_share: f64,
    /// Share of an engine's slots that requests may take within the share.
    pub slot_share: f64,
    /// Share of an engine's slots that requests may take beyond the share.
    pub spare_slot_share: f64,
    /// Share of an engine's memory that unfinished requests may take.
    pub memory_share: f64,
    /// Share of an engine's memory that is counted on for cached parts.
    pub cache_share: f64,
    /// What one running request adds to the cost of an engine, in time to the first event.
    pub running_cost: Duration,
    /// Cost of a server in another failure domain.
    pub domain_cost: Duration,
    /// Cost of a server that fails often.
    pub degraded_cost: Duration,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 40.0,
            first_event_overhead: Duration::from_millis(30),
            admit_share: 0.75,
            limited_share: 0.75,
            spare_share: 0.3,
            queue_share: 0.6,
            slot_share: 0.5,
            spare_slot_share: 0.31,
            memory_share: 0.9,
            cache_share: 0.6,
            running_cost: Duration::from_millis(2),
            domain_cost: Duration::from_millis(30),
            degraded_cost: Duration::from_millis(400),
        }
    }
}
