//! Counts of the requests that arrive, by workspace, for the logs.

use {
    baobab_unit::WorkspaceId,
    std::{cmp::Reverse, collections::HashMap},
};

/// Workspaces per report, those with most requests.
const MAX_REPORTED: usize = 5;

/// Requests of one workspace since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived.
    pub arrived: u32,
    /// Requests that were refused unread, because of this router's load.
    pub refused: u32,
}

/// Counts requests by workspace.
#[derive(Debug, Default)]
pub struct Arrivals {
    counts: HashMap<WorkspaceId, Counts>,
}

impl Arrivals {
    /// Counts a request.
    pub fn on_request(&mut self, workspace: WorkspaceId, is_refused: bool) {
        let counts = self.counts.entry(workspace).or_default();
        counts.arrived += 1;
        counts.refused += u32::from(is_refused);
    }

    /// Returns the workspaces with most requests if any request was refused, and begins to count anew.
    pub fn take_report(&mut self) -> Vec<(WorkspaceId, Counts)> {
        let mut counts: Vec<_> = self.counts.drain().collect();
        if counts.iter().all(|(_, counts)| counts.refused == 0) {
            return Vec::new();
        }
        counts.sort_unstable_by_key(|(workspace, counts)| (Reverse(counts.arrived), *workspace));
        counts.truncate(MAX_REPORTED);
        counts
    }
}
