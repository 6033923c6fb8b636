//! One router as a dispatcher sees it.

use {
    crate::{EngineRow, Grant, WorkspaceRow},
    baobab_unit::{EngineId, Incarnation, Sequence, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// A grant that the router has not yet answered.
#[derive(Debug, Clone, Copy)]
pub struct Outstanding {
    /// The grant.
    pub grant: Grant,
    /// When it was decided.
    pub issued: Duration,
    /// When it was last sent.
    pub sent: Duration,
}

/// One router.
#[derive(Debug, Default)]
pub struct RouterView {
    pub(crate) incarnation: Incarnation,
    pub(crate) applied: Sequence,
    pub(crate) heard: Duration,
    pub(crate) reported_at: Duration,
    pub(crate) report_arrived: Duration,
    pub(crate) workspaces: BTreeMap<WorkspaceId, WorkspaceRow>,
    pub(crate) streams: BTreeMap<(EngineId, WorkspaceId), u32>,
    pub(crate) engines: BTreeMap<EngineId, EngineRow>,
    pub(crate) next_grant: Sequence,
    pub(crate) outstanding: BTreeMap<Sequence, Outstanding>,
    pub(crate) granted: BTreeMap<WorkspaceId, u32>,
    pub(crate) answer_due: Option<Duration>,
    pub(crate) unresponsive_until: Option<Duration>,
}

impl RouterView {
    /// Run of the router.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Last report applied.
    pub fn applied(&self) -> Sequence {
        self.applied
    }

    /// The router's clock, as far as its last report tells; zero before the first report.
    pub fn router_time(&self, now: Duration) -> Duration {
        if self.applied == 0 {
            return Duration::ZERO;
        }
        self.reported_at + now.saturating_sub(self.report_arrived)
    }

    /// Streams by engine and workspace.
    pub fn streams(&self) -> impl Iterator<Item = (EngineId, WorkspaceId, u32)> + '_ {
        self.streams
            .iter()
            .map(|((engine, workspace), count)| (*engine, *workspace, *count))
    }

    /// Tells whether the router leaves the engine alone.
    pub fn is_failing(&self, engine: EngineId) -> bool {
        self.engines.get(&engine).is_some_and(|row| row.failing)
    }

    /// Workspaces with what waits on this router.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceRow> {
        self.workspaces.values()
    }

    /// Tells whether the router has lately let a grant go unanswered and not reported since.
    pub fn is_unresponsive(&self, now: Duration) -> bool {
        self.unresponsive_until.is_some_and(|until| now < until)
    }

    /// Grants to a workspace that are not yet answered.
    pub fn outstanding_for(&self, workspace: WorkspaceId) -> u32 {
        self.granted.get(&workspace).copied().unwrap_or_default()
    }

    /// Requests of a workspace that wait here, if it is known here.
    pub fn waiting_of(&self, workspace: WorkspaceId) -> Option<u32> {
        let row = self.workspaces.get(&workspace)?;
        Some(row.waiting + row.waiting_urgent)
    }

    /// Takes the grants that are due to be sent: new ones, and unanswered ones again.
    pub fn due_grants(&mut self, now: Duration, repeat: Duration, valid: Duration) -> Vec<Grant> {
        self.outstanding
            .values_mut()
            .filter(|entry| entry.sent.is_zero() || now >= entry.sent + repeat)
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

    /// Tells whether the router has waited for `delay` for word that its report has arrived.
    pub fn is_answer_due(&self, now: Duration, delay: Duration) -> bool {
        self.answer_due.is_some_and(|since| now >= since + delay)
    }

    /// Notes that the router is being told.
    pub fn answered(&mut self) {
        self.answer_due = None;
    }
}
