//! Candidate servers for a request.

use crate::Server;

/// Reason that a server cannot take a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The predicted time to first event, or the queue before it, exceeds its bound.
    Late,
    /// No slot or connection is free.
    Slots,
    /// Not enough memory is free.
    Memory,
}

/// A server with the predicted cost of sending the request to it.
pub(crate) struct Candidate<'a> {
    pub(crate) server: &'a Server,
    /// Basis of the comparison; the lowest cost is preferred.
    pub(crate) cost_ms: f64,
    /// Predicted time to first event.
    pub(crate) predicted_ms: f64,
    /// Prompt tokens that it has to prefill: neither cached nor fetched.
    pub(crate) prefill_tokens: u64,
    /// Prompt tokens that it has cached.
    pub(crate) cached_tokens: u64,
    /// Prefill time of the prompts queued before the request.
    pub(crate) queue_ms: f64,
    pub(crate) rejection: Option<Rejection>,
}

/// Returns the cheapest candidate that can take the request.
pub(crate) fn cheapest<'a, 'b>(candidates: &'b [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
    candidates
        .iter()
        .filter(|candidate| candidate.rejection.is_none())
        .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
}
