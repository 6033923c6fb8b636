//! Histories that a router keeps for other routers.

use {
    super::history::RetryHistory,
    baobab_unit::HostId,
    std::{collections::HashMap, time::Duration},
};

#[derive(Debug)]
struct Kept {
    history: RetryHistory,
    received_at: Duration,
}

/// The newest history of each router that has told this one of its own.
#[derive(Debug, Default)]
pub struct HistoryKeeper {
    histories: HashMap<HostId, Kept>,
}

impl HistoryKeeper {
    /// Keeps the history of a router, in place of the one before.
    pub fn keep(&mut self, host: HostId, history: RetryHistory, now: Duration) {
        let kept = Kept {
            history,
            received_at: now,
        };
        self.histories.insert(host, kept);
    }

    /// Returns the history of a router as of now, and the time since the router told it.
    #[must_use]
    pub fn get(&self, host: HostId, now: Duration) -> Option<(RetryHistory, Duration)> {
        let kept = self.histories.get(&host)?;
        let age = now.saturating_sub(kept.received_at);
        Some((kept.history.clone().aged(age), age))
    }

    /// Drops histories that are older than the window.
    pub fn expire(&mut self, window: Duration, now: Duration) {
        self.histories
            .retain(|_, kept| now.saturating_sub(kept.received_at) <= window);
    }
}
