//! Estimates of the fleet's rate, the cost of a request, and the projected service of a workspace.

use {
    super::Dispatcher,
    baobab_unit::{Token, WorkspaceId},
    std::time::Duration,
};

/// Time over which the fleet's rate is averaged.
const RATE_PERIOD: Duration = Duration::from_secs(3);

impl Dispatcher {
    /// Averages the fleet's rate over `RATE_PERIOD`, because few streams may run at a given moment.
    pub(super) fn measure_rate(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.rate_measured).as_secs_f64();
        self.rate_measured = now;
        let gain = (elapsed / RATE_PERIOD.as_secs_f64()).min(1.0);
        self.fleet_rate += (self.current_rate() - self.fleet_rate) * gain;
        // Lower bound: this pool's own capacity.
        let capacity = f64::from(self.engines.slots_total()) * self.engines.stream_rate();
        self.fleet_rate = self.fleet_rate.max(capacity);
    }

    pub(super) fn current_rate(&self) -> f64 {
        let running: u32 = self
            .routers
            .tallies()
            .values()
            .map(|tally| tally.running)
            .sum();
        let own = f64::from(running) * self.engines.stream_rate();
        (own + self.peers.rate()).max(self.engines.stream_rate())
    }

    /// Returns the mean number of tokens of a request.
    pub(super) fn mean_request_tokens(&self) -> f64 {
        let requests = self.status.granted.max(1) as f64;
        (self.served_tokens as f64 / requests).max(self.lookahead_tokens())
    }

    /// Returns the tokens that a stream is charged in advance when it is granted.
    pub(super) fn lookahead_tokens(&self) -> f64 {
        self.engines.stream_rate() * self.tuning.lookahead.as_secs_f64()
    }

    /// Returns the level of a workspace plus the lookahead of its running and granted streams, in
    /// tokens.
    pub(super) fn projected(&self, now: Duration, workspace: WorkspaceId) -> f64 {
        let tally = self.routers.tally(workspace);
        let streams = f64::from(tally.running + tally.outstanding);
        self.ledger.level(workspace) as f64
            + streams * self.lookahead_tokens()
            + self.anticipated_grants.expected(workspace) * self.lookahead_tokens()
            + self.peers.projected(now, workspace, self.tuning.lookahead)
    }

    /// Returns the fair share of one unit of weight, in tokens a second.
    pub(super) fn share_rate(&self) -> f64 {
        let weight: u32 = self
            .routers
            .tallies()
            .iter()
            .filter(|(_, tally)| tally.running + tally.waiting_total() > 0)
            .filter_map(|(workspace, _)| self.weights.get(workspace))
            .sum();
        self.fleet_rate / f64::from(weight.max(1))
    }
}

/// Rounds tokens up; negative numbers become zero.
pub(super) fn round_up_tokens(tokens: f64) -> Token {
    // Casts from float to integer saturate.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let rounded = tokens.max(0.0).ceil() as Token;
    rounded
}

pub(super) fn round_up_rate(rate: f64) -> u32 {
    u32::try_from(round_up_tokens(rate)).unwrap_or(u32::MAX)
}
