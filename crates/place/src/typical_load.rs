//! Mean load of a service's servers, for those whose load is not known.

use {
    crate::{Load, Placer, ServerKey},
    std::time::Duration,
};

/// Weight of the newest answer in the moving average: some ten samples of servers.
const NEWEST_WEIGHT: f64 = 0.02;

/// Exponentially weighted mean of the loads that the owners of servers have answered.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TypicalLoad {
    pending_prefill_tokens: f64,
    running: f64,
    memory_tokens: f64,
}

impl TypicalLoad {
    /// Starts with the first answer.
    pub(crate) fn new(load: Load) -> Self {
        Self {
            pending_prefill_tokens: load.pending_prefill_tokens as f64,
            running: load.running as f64,
            memory_tokens: load.memory_tokens as f64,
        }
    }

    /// Adds an answer.
    pub(crate) fn add(&mut self, load: Load) {
        let newest = Self::new(load);
        for (mean, newest) in [
            (
                &mut self.pending_prefill_tokens,
                newest.pending_prefill_tokens,
            ),
            (&mut self.running, newest.running),
            (&mut self.memory_tokens, newest.memory_tokens),
        ] {
            *mean += NEWEST_WEIGHT * (newest - *mean);
        }
    }

    /// Returns the mean.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn load(self) -> Load {
        Load {
            pending_prefill_tokens: self.pending_prefill_tokens as u64,
            running: self.running as u64,
            memory_tokens: self.memory_tokens as u64,
        }
    }
}

impl Placer {
    /// Records the load that all other routers have on a server, as its owner answers.
    pub fn on_load_answer(&mut self, key: ServerKey, load: Load, now: Duration) {
        self.peers.on_answer(key, load, now);
        let Some(server) = self.registry.get(key) else {
            return;
        };
        if let Some(typical) = self.typical_loads.get_mut(&server.service) {
            typical.add(load);
        } else {
            let typical = TypicalLoad::new(load);
            self.typical_loads.insert(server.service.clone(), typical);
        }
    }

    /// Forgets what owners have answered, in a fleet whose routers all report to this one.
    pub fn forget_typical_loads(&mut self) {
        self.typical_loads.clear();
        self.peers.forget_owned();
    }

    /// Returns the load of all other routers on a server. In a fleet that asks owners, an unknown load
    /// is taken for that of the service's other servers, and not for none.
    pub(crate) fn load_of_others(&self, key: ServerKey) -> Load {
        if self.peers.has_answer(key) {
            return self.peers.load(key);
        }
        self.registry
            .get(key)
            .and_then(|server| self.typical_loads.get(&server.service))
            .map_or_else(|| self.peers.load(key), |typical| typical.load())
    }
}
