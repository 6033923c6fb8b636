//! Estimates: the fleet's rate, what a request costs, and where a workspace stands.

use {
    super::Dispatcher,
    baobab_unit::{Token, WorkspaceId},
    std::time::Duration,
};

/// Time over which the fleet's rate is averaged.
const RATE_PERIOD: Duration = Duration::from_secs(3);

impl Dispatcher {
    /// Averages the fleet's rate over a while: at single moments few streams may run.
    pub(super) fn measure_rate(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.rate_measured).as_secs_f64();
        self.rate_measured = now;
        let gain = (elapsed / RATE_PERIOD.as_secs_f64()).min(1.0);
        self.fleet_rate += (self.present_rate() - self.fleet_rate) * gain;
        // Whatever the average says, this pool alone can serve as much.
        let capacity = f64::from(self.engines.slots_total()) * self.engines.stream_rate();
        self.fleet_rate = self.fleet_rate.max(capacity);
    }

    pub(super) fn present_rate(&self) -> f64 {
        let running: u32 = self
            .routers
            .tallies()
            .values()
            .map(|tally| tally.running)
            .sum();
        let own = f64::from(running) * self.engines.stream_rate();
        (own + self.peers.rate()).max(self.engines.stream_rate())
    }

    /// Tokens of a request, on average.
    pub(super) fn request_tokens(&self) -> f64 {
        let requests = self.status.granted.max(1) as f64;
        (self.served_tokens as f64 / requests).max(self.charge_ahead())
    }

    /// Tokens that a stream is charged ahead when it is granted.
    pub(super) fn charge_ahead(&self) -> f64 {
        self.engines.stream_rate() * self.tuning.lookahead.as_secs_f64()
    }

    /// Service of a workspace, with what its running streams will receive soon.
    pub(super) fn projected(&self, now: Duration, workspace: WorkspaceId) -> f64 {
        let tally = self.routers.tally(workspace);
        let streams = f64::from(tally.running + tally.outstanding);
        self.ledger.level(workspace) as f64
            + streams * self.charge_ahead()
            + self.anticipated.grants(workspace) * self.charge_ahead()
            + self.peers.projected(now, workspace, self.tuning.lookahead)
    }

    /// Tokens a second that one unit of weight is due.
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

/// Rounds a non-negative number of tokens up.
pub(super) fn whole_tokens(tokens: f64) -> Token {
    // A float's cast to an integer saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = tokens.max(0.0).ceil() as Token;
    whole
}

pub(super) fn whole_rate(rate: f64) -> u32 {
    u32::try_from(whole_tokens(rate)).unwrap_or(u32::MAX)
}
