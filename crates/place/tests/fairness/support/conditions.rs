//! What a simulated fleet meets beside its demands, and variants of the routers' rules.

use {
    super::{RATES_INTERVAL, REQUEST_TIME},
    std::time::Duration,
};

/// A kind of request.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub(super) weight: f64,
    pub(super) objective_ms: u64,
    pub(super) timeout_ms: u64,
    pub(super) mean_prompt_tokens: f64,
    pub(super) spread: f64,
    pub(super) max_prompt_tokens: f64,
    pub(super) output_tokens: u64,
}

/// Kinds of request: full histories, quick questions and short notes.
pub const KINDS: &[Kind] = &[
    Kind {
        weight: 0.31,
        objective_ms: 1000,
        timeout_ms: 15_000,
        mean_prompt_tokens: 9_000.0,
        spread: 0.9,
        max_prompt_tokens: 54_600.0,
        output_tokens: 382,
    },
    Kind {
        weight: 0.29,
        objective_ms: 400,
        timeout_ms: 15_000,
        mean_prompt_tokens: 830.0,
        spread: 0.8,
        max_prompt_tokens: 3_310.0,
        output_tokens: 290,
    },
    Kind {
        weight: 0.40,
        objective_ms: 500,
        timeout_ms: 3_000,
        mean_prompt_tokens: 2_400.0,
        spread: 0.9,
        max_prompt_tokens: 6_870.0,
        output_tokens: 23,
    },
];

/// Kinds of request of a site with 6,000 tokens in the mean.
pub const SITE_KINDS: &[Kind] = &[
    Kind {
        weight: 0.31,
        objective_ms: 1000,
        timeout_ms: 15_000,
        mean_prompt_tokens: 15_600.0,
        spread: 0.9,
        max_prompt_tokens: 54_600.0,
        output_tokens: 382,
    },
    Kind {
        weight: 0.29,
        objective_ms: 400,
        timeout_ms: 15_000,
        mean_prompt_tokens: 830.0,
        spread: 0.8,
        max_prompt_tokens: 3_310.0,
        output_tokens: 290,
    },
    Kind {
        weight: 0.40,
        objective_ms: 500,
        timeout_ms: 3_000,
        mean_prompt_tokens: 2_400.0,
        spread: 0.9,
        max_prompt_tokens: 6_870.0,
        output_tokens: 23,
    },
];

impl Kind {
    /// Returns the tokens that its requests add to the mean claim.
    pub(super) fn mean_claim(&self) -> f64 {
        self.weight * (self.mean_prompt_tokens + 2.0 * self.output_tokens as f64)
    }
}

/// A crash of a fraction of the engines, which start again later.
#[derive(Debug, Clone, Copy)]
pub struct Crash {
    pub at: Duration,
    pub fraction: f64,
    pub outage: Duration,
}

/// A variant of the routers' rules, to tell what a finding hinges on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Variant {
    AsItIs,
    /// Each router has buckets as large as those of the whole fleet.
    WholeBuckets,
    /// Attempts that break before their first event are not charged.
    BrokenNotCharged,
    /// Late requests are judged like first ones.
    LateAsFirst,
    /// Requests that a router refuses unread are not counted as claims.
    UnreadNotCounted,
    /// Overloaded routers ask for loads and samples like others.
    OverloadedAsk,
    /// Requests within the share get full bounds.
    FullBounds,
}

/// Conditions of a play.
#[derive(Debug, Clone)]
pub struct Conditions {
    pub kinds: &'static [Kind],
    pub crash: Option<Crash>,
    /// Whether an overload lasts for three seconds at least, as in the relay.
    pub keeps_overload: bool,
    /// Whether an overloaded router refuses streams before it reads them, as in the relay.
    pub refuses_unread: bool,
    /// Whether a router turns connections away that wait to be read, as in the relay.
    pub turns_away: bool,
    pub rates_interval: Duration,
    /// Processor time that a router takes to read a request.
    pub read_time: Duration,
    /// Processor time to ask for the loads of a sample of servers.
    pub ask_time: Duration,
    /// Processor time to send a request and to pass its response on.
    pub serve_time: Duration,
    pub variant: Variant,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            kinds: KINDS,
            crash: None,
            keeps_overload: false,
            refuses_unread: false,
            turns_away: false,
            rates_interval: RATES_INTERVAL,
            read_time: REQUEST_TIME,
            ask_time: Duration::ZERO,
            serve_time: Duration::ZERO,
            variant: Variant::AsItIs,
        }
    }
}
