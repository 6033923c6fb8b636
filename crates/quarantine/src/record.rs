//! Quarantined parts as routers tell each other.

use {
    crate::PartId,
    baobab_unit::WorkspaceId,
    std::{collections::BTreeSet, time::Duration},
};

/// Maximum number of records sent at a time: those with the newest crashes.
pub const MAX_RECORDS: usize = 8;

/// A quarantined part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The part.
    pub part: PartId,
    /// Parts that a request must hold to be held.
    pub common: BTreeSet<PartId>,
    /// Workspaces in which answers broke.
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Time since the last crash.
    pub age: Duration,
    /// Time left until probation; zero on probation.
    pub remaining: Duration,
    /// Time on probation in which nobody asked for the part.
    pub idle: Duration,
    /// Number of earlier holds that ended in a further crash.
    pub level: u32,
    /// Whether only a [`Proof::Lasting`](crate::Proof::Lasting) answer lifts the quarantine.
    pub needs_lasting: bool,
}
