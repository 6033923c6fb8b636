//! Servers that are compared for one request.

use {
    crate::{PartId, Server, ServerKey, score::home_score},
    std::time::Duration,
};

/// What keeps an engine from taking a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Obstacle {
    /// It would answer late.
    Late,
    /// Its slots are taken.
    Slots,
    /// Its memory is taken.
    Memory,
}

/// A server and what sending the request there would mean.
pub(crate) struct Candidate<'a> {
    pub(crate) server: &'a Server,
    /// What it is compared by.
    pub(crate) cost_ms: f64,
    /// Foretold time to the first event.
    pub(crate) wait_ms: f64,
    /// Prompt tokens that it has to read.
    pub(crate) uncached_tokens: u64,
    /// Prompt tokens that it holds.
    pub(crate) cached_tokens: u64,
    /// When it last used the shared parts.
    pub(crate) used_at: Option<Duration>,
    /// Time that the prompts before the request take.
    pub(crate) queue_ms: f64,
    /// What keeps it from taking the request.
    pub(crate) obstacle: Option<Obstacle>,
}

/// Returns the cheapest of the wanted candidates that take the request.
pub(crate) fn cheapest<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    is_wanted: impl Fn(ServerKey) -> bool,
) -> Option<&'b Candidate<'a>> {
    candidates
        .iter()
        .filter(|candidate| candidate.obstacle.is_none() && is_wanted(candidate.server.key))
        .min_by(|left, right| left.cost_ms.total_cmp(&right.cost_ms))
}

/// Returns the servers that suit a part best, the best one first.
pub(crate) fn homes(part: PartId, servers: &[&Server], most: usize) -> Vec<ServerKey> {
    let mut scored: Vec<(u64, ServerKey)> = servers
        .iter()
        .map(|server| (home_score(part, server.key), server.key))
        .collect();
    scored.sort_unstable_by(|left, right| right.cmp(left));
    scored.into_iter().take(most).map(|(_, key)| key).collect()
}
