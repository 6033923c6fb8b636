//! A dispatcher's view of one router.

use {
    crate::{EngineRow, Grant, WorkspaceRow},
    baobab_unit::{EngineId, Incarnation, Sequence, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// A grant that the router has not yet acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct OutstandingGrant {
    /// The grant.
    pub grant: Grant,
    /// Time of the decision.
    pub issued: Duration,
    /// Time of the last transmission; zero before the first.
    pub sent: Duration,
}

/// Reported state of one router, and the grants to it.
#[derive(Debug, Default)]
pub struct RouterView {
    pub(crate) incarnation: Incarnation,
    pub(crate) applied: Sequence,
    pub(crate) last_seen: Duration,
    pub(crate) reported_at: Duration,
    pub(crate) report_arrived: Duration,
    pub(crate) workspaces: BTreeMap<WorkspaceId, WorkspaceRow>,
    pub(crate) streams: BTreeMap<(EngineId, WorkspaceId), u32>,
    pub(crate) engines: BTreeMap<EngineId, EngineRow>,
    pub(crate) next_grant: Sequence,
    pub(crate) outstanding: BTreeMap<Sequence, OutstandingGrant>,
    pub(crate) outstanding_by_workspace: BTreeMap<WorkspaceId, u32>,
    pub(crate) ack_due_since: Option<Duration>,
    pub(crate) unresponsive_until: Option<Duration>,
}

impl RouterView {
    /// Returns the router's run.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the sequence number of the last applied report.
    pub fn applied(&self) -> Sequence {
        self.applied
    }

    /// Estimates the router's clock from its last report; zero before the first report.
    pub fn router_time(&self, now: Duration) -> Duration {
        if self.applied == 0 {
            return Duration::ZERO;
        }
        self.reported_at + now.saturating_sub(self.report_arrived)
    }

    /// Returns the running streams by engine and workspace.
    pub fn streams(&self) -> impl Iterator<Item = (EngineId, WorkspaceId, u32)> + '_ {
        self.streams
            .iter()
            .map(|((engine, workspace), count)| (*engine, *workspace, *count))
    }

    /// Returns whether the router sends the engine no requests after failures.
    pub fn is_failing(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|row| row.failing)
    }

    /// Returns the workspace rows of this router.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceRow> {
        self.workspaces.values()
    }

    /// Returns whether the router recently left a grant unacknowledged and has not reported since.
    pub fn is_unresponsive(&self, now: Duration) -> bool {
        self.unresponsive_until.is_some_and(|until| now < until)
    }

    /// Returns the number of unacknowledged grants to a workspace.
    pub fn outstanding_for(&self, workspace: WorkspaceId) -> u32 {
        self.outstanding_by_workspace
            .get(&workspace)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the number of waiting requests of a workspace, or `None` if the router has no row
    /// for it.
    pub fn waiting_of(&self, workspace: WorkspaceId) -> Option<u32> {
        let row = self.workspaces.get(&workspace)?;
        Some(row.waiting + row.waiting_urgent)
    }

    /// Returns the grants to send now: new ones, and unacknowledged ones after `retry`.
    pub fn due_grants(&mut self, now: Duration, retry: Duration, valid: Duration) -> Vec<Grant> {
        self.outstanding
            .values_mut()
            .filter(|entry| entry.sent.is_zero() || now >= entry.sent + retry)
            .filter(|entry| now < entry.issued + valid)
            .map(|entry| {
                entry.sent = now;
                Grant {
                    valid: valid.saturating_sub(now.saturating_sub(entry.issued)),
                    ..entry.grant
                }
            })
            .collect()
    }

    /// Returns whether a report has been unacknowledged for `delay`.
    pub fn is_ack_due(&self, now: Duration, delay: Duration) -> bool {
        self.ack_due_since.is_some_and(|since| now >= since + delay)
    }

    /// Records that a message to the router acknowledges its reports.
    pub fn record_ack(&mut self) {
        self.ack_due_since = None;
    }
}
