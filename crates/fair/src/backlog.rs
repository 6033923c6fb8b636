//! Which workspaces are backlogged, and who is lifted when it comes back from idle.

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

/// A new position for a candidate.
#[derive(Debug, Clone, Copy)]
pub struct Lift {
    /// Index of the candidate.
    pub candidate: usize,
    /// Its new position.
    pub position: f64,
}

/// The backlog of every workspace with requests waiting now or a moment ago.
#[derive(Debug, Default)]
pub struct Backlogs {
    entries: BTreeMap<WorkspaceId, Backlog>,
    last_served: f64,
}

impl Backlogs {
    /// Remembers what a workspace had received when a request of its was granted.
    pub fn served(&mut self, received: f64) {
        self.last_served = self.last_served.max(received);
    }

    /// Takes the waiting workspaces in and returns the lifts that are due.
    ///
    /// A workspace back from idle starts level with what the backlogged one that is furthest behind
    /// has received, so that it spends no saved-up credit. What the others' running streams will
    /// still receive counts against them, not against the newcomer. A backlogged one may lag at most `catch_up` behind the
    /// one that is furthest ahead, so that a long cut's debt does not starve the others.
    pub fn update(
        &mut self,
        now: Duration,
        candidates: &[Candidate],
        catch_up: f64,
        tuning: &Tuning,
    ) -> Vec<Lift> {
        self.forget_idle(now, candidates, tuning);
        let floor = self.floor(candidates);
        let ceiling = self.ceiling(candidates);
        let mut lifts = Vec::new();
        for (index, candidate) in candidates.iter().enumerate() {
            let is_back = self.enter(now, candidate.workspace, tuning);
            let target = if is_back {
                floor.unwrap_or(self.last_served)
            } else {
                ceiling.map_or(candidate.position, |ceiling| ceiling - catch_up)
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

    /// Takes one waiting workspace in. Returns whether it has just come back from idle.
    fn enter(&mut self, now: Duration, workspace: WorkspaceId, tuning: &Tuning) -> bool {
        let entry = self.entries.entry(workspace).or_default();
        let since = *entry.waiting_since.get_or_insert(now);
        if now >= since + tuning.backlog_after {
            entry.backlogged_at = Some(now);
            return false;
        }
        since == now && entry.backlogged_at.is_none()
    }

    fn forget_idle(&mut self, now: Duration, candidates: &[Candidate], tuning: &Tuning) {
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

    /// Returns the position of the backlogged workspace that is furthest behind.
    pub fn furthest_behind(&self, candidates: &[Candidate]) -> Option<f64> {
        self.backlogged(candidates)
            .map(|candidate| candidate.position)
            .min_by(f64::total_cmp)
    }

    fn floor(&self, candidates: &[Candidate]) -> Option<f64> {
        self.backlogged(candidates)
            .map(|candidate| candidate.received)
            .min_by(f64::total_cmp)
    }

    fn ceiling(&self, candidates: &[Candidate]) -> Option<f64> {
        self.backlogged(candidates)
            .map(|candidate| candidate.served)
            .max_by(f64::total_cmp)
    }
}
