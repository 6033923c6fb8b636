//! Grants that other dispatchers are likely to give at the same time.

use {
    baobab_unit::WorkspaceId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time until pool updates that cover the grants of other dispatchers are expected.
const EXPECTED_NEWS: Duration = Duration::from_millis(200);

/// Workspaces that were granted slots a moment ago.
///
/// All dispatchers see the same workspace furthest behind. Until their updates arrive, each assumes
/// that the others do as it does, so that together they don't give one workspace many times what
/// it is behind.
#[derive(Debug, Default)]
pub struct Anticipated {
    grants: BTreeMap<WorkspaceId, VecDeque<Duration>>,
    peers: u32,
}

impl Anticipated {
    /// Forgets grants that pool updates must cover by now.
    pub fn update(&mut self, now: Duration, peers: u32) {
        self.peers = peers;
        for times in self.grants.values_mut() {
            while times.front().is_some_and(|at| now >= *at + EXPECTED_NEWS) {
                times.pop_front();
            }
        }
        self.grants.retain(|_, times| !times.is_empty());
    }

    /// Notes a grant of this dispatcher.
    pub fn add(&mut self, now: Duration, workspace: WorkspaceId) {
        self.grants.entry(workspace).or_default().push_back(now);
    }

    /// Returns the grants that the others are likely to have given.
    pub fn grants(&self, workspace: WorkspaceId) -> f64 {
        let own = self.grants.get(&workspace).map_or(0, VecDeque::len);
        own as f64 * f64::from(self.peers)
    }
}
