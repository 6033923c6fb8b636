//! Detection of backlogged workspaces, and lifts of those that return from idle or lag too far.

use {
    crate::{Tuning, ranking::Candidate},
    baobab_unit::WorkspaceId,
    std::{collections::BTreeMap, time::Duration},
};

#[derive(Debug, Clone, Copy, Default)]
struct Backlog {
    waiting_since: Option<Duration>,
    backlogged_at: Option<Duration>,
}

/// An increase of a candidate's position; its workspace's lift grows by the difference.
#[derive(Debug, Clone, Copy)]
pub struct Lift {
    /// Index of the candidate.
    pub candidate: usize,
    /// The new position, in tokens over weight.
    pub position: f64,
}

/// The backlog of every workspace that has waiting requests or was recently backlogged.
#[derive(Debug, Default)]
pub struct Backlogs {
    entries: BTreeMap<WorkspaceId, Backlog>,
    last_received: f64,
}

impl Backlogs {
    /// Records the service, in tokens over weight, that a workspace had received when it was
    /// granted a slot.
    pub fn record_service(&mut self, received: f64) {
        self.last_received = self.last_received.max(received);
    }

    /// Updates the backlogs from the waiting workspaces and returns the lifts that are due.
    ///
    /// A workspace that returns from idle starts at the received service of the backlogged one that
    /// is furthest behind, so that it gets no credit for its idle time. The lookahead of the
    /// others' running streams is charged to them, not to the returning workspace. Any other
    /// workspace lags at most `catch_up` tokens over weight behind the backlogged one that has
    /// received the most, less the lead allowance, so that the debt of a long network partition
    /// does not starve the others.
    pub fn update(
        &mut self,
        now: Duration,
        candidates: &[Candidate],
        catch_up: f64,
        tuning: &Tuning,
    ) -> Vec<Lift> {
        self.drop_idle(now, candidates, tuning);
        let min_received = self.min_received(candidates);
        let max_received_less_allowance = self.max_received_less_allowance(candidates);
        let mut lifts = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let is_returning = self.mark_waiting(now, candidate.workspace, tuning);
            let target = if is_returning {
                min_received.unwrap_or(self.last_received)
            } else {
                max_received_less_allowance
                    .map_or(candidate.position, |received| received - catch_up)
            };
            if target > candidate.position {
                lifts.push(Lift {
                    candidate: index,
                    position: target,
                });
            }
        }
        lifts
    }

    /// Marks a workspace as waiting. Returns whether it has just returned from idle.
    fn mark_waiting(&mut self, now: Duration, workspace: WorkspaceId, tuning: &Tuning) -> bool {
        let entry = self.entries.entry(workspace).or_default();
        let waiting_since = *entry.waiting_since.get_or_insert(now);
        if now >= waiting_since + tuning.backlog_after {
            entry.backlogged_at = Some(now);
            return false;
        }
        waiting_since == now && entry.backlogged_at.is_none()
    }

    fn drop_idle(&mut self, now: Duration, candidates: &[Candidate], tuning: &Tuning) {
        for (workspace, entry) in &mut self.entries {
            let found = candidates.binary_search_by_key(workspace, |candidate| candidate.workspace);
            if found.is_err() {
                entry.waiting_since = None;
            }
            if entry
                .backlogged_at
                .is_some_and(|at| now > at + tuning.idle_after)
            {
                entry.backlogged_at = None;
            }
        }
        self.entries
            .retain(|_, entry| entry.waiting_since.is_some() || entry.backlogged_at.is_some());
    }

    fn is_backlogged(&self, workspace: WorkspaceId) -> bool {
        self.entries
            .get(&workspace)
            .is_some_and(|entry| entry.backlogged_at.is_some())
    }

    fn backlogged<'a>(
        &'a self,
        candidates: &'a [Candidate],
    ) -> impl Iterator<Item = &'a Candidate> {
        candidates
            .iter()
            .filter(|candidate| self.is_backlogged(candidate.workspace))
    }

    /// Returns the minimum position of the backlogged workspaces.
    pub fn furthest_behind(&self, candidates: &[Candidate]) -> Option<f64> {
        self.backlogged(candidates)
            .map(|candidate| candidate.position)
            .min_by(f64::total_cmp)
    }

    fn min_received(&self, candidates: &[Candidate]) -> Option<f64> {
        self.backlogged(candidates)
            .map(|candidate| candidate.received)
            .min_by(f64::total_cmp)
    }

    fn max_received_less_allowance(&self, candidates: &[Candidate]) -> Option<f64> {
        self.backlogged(candidates)
            .map(|candidate| candidate.received_less_allowance)
            .max_by(f64::total_cmp)
    }
}
