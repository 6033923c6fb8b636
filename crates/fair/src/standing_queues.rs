//! Standing queues: the minimum queue lengths over a short window.

use {
    crate::routers::Tally,
    baobab_unit::WorkspaceId,
    std::{collections::BTreeMap, time::Duration},
};

/// Half of the window over which the minimum is taken.
const HALF_WINDOW: Duration = Duration::from_millis(100);

/// Number of waiting requests by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct QueueLength {
    /// Requests of the most urgent class.
    pub urgent: u32,
    /// Requests of the other classes.
    pub other: u32,
}

impl QueueLength {
    fn min_by_class(self, other: Self) -> Self {
        Self {
            urgent: self.urgent.min(other.urgent),
            other: self.other.min(other.other),
        }
    }
}

/// The standing queue of every workspace.
///
/// Only standing queues are published to other domains: a request that its own domain serves within
/// moments is not worth a message, and two dispatchers would grant it at once.
#[derive(Debug, Default)]
pub struct StandingQueues {
    period_start: Duration,
    previous: BTreeMap<WorkspaceId, QueueLength>,
    current: BTreeMap<WorkspaceId, QueueLength>,
}

impl StandingQueues {
    /// Applies the current queue lengths.
    pub fn update(&mut self, now: Duration, tallies: &BTreeMap<WorkspaceId, Tally>) {
        if now >= self.period_start + HALF_WINDOW {
            self.period_start = now;
            self.previous = std::mem::take(&mut self.current);
        }
        for (workspace, tally) in tallies {
            let present = QueueLength {
                urgent: tally.waiting_urgent,
                other: tally.waiting,
            };
            self.current
                .entry(*workspace)
                .and_modify(|min| *min = min.min_by_class(present))
                .or_insert(present);
        }
    }

    /// Returns the length of a workspace's standing queue.
    pub fn length(&self, workspace: WorkspaceId) -> QueueLength {
        let in_period = |period: &BTreeMap<WorkspaceId, QueueLength>| {
            period.get(&workspace).copied().unwrap_or_default()
        };
        in_period(&self.previous).min_by_class(in_period(&self.current))
    }
}
