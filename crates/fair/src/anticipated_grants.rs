//! Estimate of the grants that other dispatchers issue concurrently.

use {
    baobab_unit::WorkspaceId,
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Time until pool updates include the grants of other dispatchers.
const PEER_UPDATE_DELAY: Duration = Duration::from_millis(200);

/// Recent grants by workspace.
///
/// All dispatchers see the same workspace furthest behind. Until their updates arrive, each assumes
/// that the others grant the same, so that together they don't grant one workspace many times its
/// deficit.
#[derive(Debug, Default)]
pub struct AnticipatedGrants {
    grants: BTreeMap<WorkspaceId, VecDeque<Duration>>,
    peers: u32,
}

impl AnticipatedGrants {
    /// Drops grants that pool updates include by now, and sets the number of `peers`, the other
    /// pools of the model.
    pub fn update(&mut self, now: Duration, peers: u32) {
        self.peers = peers;
        for times in self.grants.values_mut() {
            while times
                .front()
                .is_some_and(|at| now >= *at + PEER_UPDATE_DELAY)
            {
                times.pop_front();
            }
        }
        self.grants.retain(|_, times| !times.is_empty());
    }

    /// Records a grant of this dispatcher.
    pub fn record(&mut self, now: Duration, workspace: WorkspaceId) {
        self.grants.entry(workspace).or_default().push_back(now);
    }

    /// Returns the expected number of grants by the other dispatchers.
    pub fn expected(&self, workspace: WorkspaceId) -> f64 {
        let own = self.grants.get(&workspace).map_or(0, VecDeque::len);
        own as f64 * f64::from(self.peers)
    }
}
