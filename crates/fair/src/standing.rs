//! Requests that have been waiting for a while: the least number over the last moments.

use {
    crate::routers::Tally,
    baobab_unit::WorkspaceId,
    std::{collections::BTreeMap, time::Duration},
};

/// Half of the time over which the least number is taken.
const PERIOD: Duration = Duration::from_millis(100);

/// Waiting requests by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StandingCount {
    /// Of the most urgent class.
    pub urgent: u32,
    /// Of the other classes.
    pub other: u32,
}

impl StandingCount {
    fn least(self, other: Self) -> Self {
        Self {
            urgent: self.urgent.min(other.urgent),
            other: self.other.min(other.other),
        }
    }
}

/// The standing queue of every workspace.
///
/// Other domains are told of it alone: a request that its own domain serves within moments is not
/// worth a message, and two dispatchers would grant it at once.
#[derive(Debug, Default)]
pub struct Standing {
    period_start: Duration,
    before: BTreeMap<WorkspaceId, StandingCount>,
    now: BTreeMap<WorkspaceId, StandingCount>,
}

impl Standing {
    /// Takes the present numbers in.
    pub fn update(&mut self, now: Duration, tallies: &BTreeMap<WorkspaceId, Tally>) {
        if now >= self.period_start + PERIOD {
            self.period_start = now;
            self.before = std::mem::take(&mut self.now);
        }
        for (workspace, tally) in tallies {
            let present = StandingCount {
                urgent: tally.waiting_urgent,
                other: tally.waiting,
            };
            self.now
                .entry(*workspace)
                .and_modify(|least| *least = least.least(present))
                .or_insert(present);
        }
    }

    /// Returns the requests of a workspace that have been waiting for a while.
    pub fn of(&self, workspace: WorkspaceId) -> StandingCount {
        let part = |period: &BTreeMap<WorkspaceId, StandingCount>| {
            period.get(&workspace).copied().unwrap_or_default()
        };
        part(&self.before).least(part(&self.now))
    }
}
