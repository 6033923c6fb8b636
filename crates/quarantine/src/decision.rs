//! Results of calls to the quarantine.

use {
    crate::{PartId, Proof},
    baobab_unit::WorkspaceId,
    std::{collections::BTreeSet, time::Duration},
};

/// Minimum number of spaced crashes with a convicted part.
const MIN_CRASHES: usize = 3;
/// Crashes with a request of their own each from which circumstantial evidence is no coincidence. Fewer can be one
/// while servers also end for other reasons and answer nothing.
const FIRM_CRASHES: usize = 4;
/// Minimum number of servers that crashed with a convicted part.
const MIN_SERVERS: usize = 2;
/// Minimum number of requests with a convicted part.
const MIN_REQUESTS: usize = 2;
/// Minimum share of all crashes that a convicted part has, in percent.
const MIN_SHARE_PERCENT: usize = 40;
/// Spaced crashes that suffice whatever share of all crashes they are, since answers also break for
/// other reasons.
const SUFFICIENT_CRASHES: usize = 5;
/// Minimum number of servers among these.
const SUFFICIENT_SERVERS: usize = 3;
/// Spaced crashes that suffice if [`SUFFICIENT_CRASHES`] servers crashed in them: requests that come in bursts
/// crash many servers at the same moment.
const MIN_BURSTS: usize = 2;

/// What the evidence against a part amounts to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// Spaced crashes with the part.
    pub crashes: usize,
    /// Spaced crashes of all servers since the first one with the part.
    pub all_crashes: usize,
    /// Servers that crashed.
    pub servers: usize,
    /// Requests whose answers broke.
    pub requests: usize,
    /// Crashes of single servers with the part, also at the same moment.
    pub server_crashes: usize,
    /// Crashes that can be assigned a different one of these requests each.
    pub independent_crashes: usize,
    /// Workspaces of these requests.
    pub workspaces: BTreeSet<WorkspaceId>,
    /// Parts that all these requests hold.
    pub common: BTreeSet<PartId>,
    /// Whether they are the same request, sent again.
    pub is_one_content: bool,
    /// Whether an answer had shown the part to be sound shortly before. Requests with a sound part that comes
    /// with a deadly one break with it.
    pub was_sound: bool,
    /// Whether some of them may have broken off only because another request crashed their server.
    pub is_circumstantial: bool,
    /// What an answer must show to void all of this evidence.
    pub voided_by: Option<Proof>,
}

impl Findings {
    /// Returns whether the evidence may be a coincidence, so that the part is to be tried again soon.
    pub(crate) fn is_weak(&self) -> bool {
        self.is_circumstantial && self.independent_crashes < FIRM_CRASHES
    }

    /// Returns whether the crashes are so many that they suffice whatever else may explain them.
    pub(crate) fn is_sufficient(&self) -> bool {
        self.crashes >= SUFFICIENT_CRASHES
            && self.independent_crashes >= SUFFICIENT_CRASHES
            && self.servers >= SUFFICIENT_SERVERS
    }

    /// Returns whether only a [`Proof::Lasting`] answer voids all of the evidence.
    pub(crate) fn needs_lasting(&self) -> bool {
        self.voided_by == Some(Proof::Lasting)
    }

    /// Returns whether the part is to be quarantined.
    #[must_use]
    pub fn is_conviction(&self) -> bool {
        let has_share = self.crashes * 100 >= self.all_crashes * MIN_SHARE_PERCENT;
        let suffices = self.crashes >= SUFFICIENT_CRASHES && self.servers >= SUFFICIENT_SERVERS;
        // A service may have a single server, which the same request crashes each time it is back.
        let has_servers =
            self.servers >= MIN_SERVERS || (self.is_one_content && self.requests >= MIN_CRASHES);
        // Requests that only waited at a server are many, but those that did so beside one that is repeated at
        // several servers show no more than that one.
        let is_independent = !self.is_circumstantial || self.independent_crashes >= MIN_CRASHES;
        let has_crashes = self.crashes >= MIN_CRASHES
            && is_independent
            && has_servers
            && self.requests >= MIN_REQUESTS
            && ((has_share && !self.was_sound) || suffices);
        let has_bursts = self.crashes >= MIN_BURSTS
            && self.independent_crashes >= SUFFICIENT_CRASHES
            && self.servers >= SUFFICIENT_SERVERS;
        has_crashes || has_bursts
    }
}

/// A change of state, to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The spaced crashes with a part have become more; they don't suffice yet.
    Suspected {
        /// The part.
        part: PartId,
        /// The evidence so far.
        findings: Findings,
    },
    /// Requests with the part are held from now on.
    Quarantined {
        /// The part.
        part: PartId,
        /// The evidence.
        findings: Findings,
        /// Time left until probation.
        hold: Duration,
        /// Number of earlier holds that ended in a further crash.
        level: u32,
    },
    /// More requests are held than before, because of a crash with other parts or in another
    /// workspace.
    Widened {
        /// The part.
        part: PartId,
        /// Parts that a request must hold to be held.
        common: BTreeSet<PartId>,
        /// Workspaces in which answers broke.
        workspaces: BTreeSet<WorkspaceId>,
    },
    /// A quarantine was taken over from another router.
    Adopted {
        /// The part.
        part: PartId,
        /// Parts that a request must hold to be held.
        common: BTreeSet<PartId>,
        /// Workspaces in which answers broke.
        workspaces: BTreeSet<WorkspaceId>,
        /// Time left until probation.
        hold: Duration,
        /// Number of earlier holds that ended in a further crash.
        level: u32,
    },
    /// The hold is over; single requests are let through.
    ProbationBegan {
        /// The part.
        part: PartId,
    },
    /// An answer withstood the part; the evidence up to then is dropped.
    Cleared {
        /// The part.
        part: PartId,
        /// Time of the answer.
        at: Duration,
        /// What the answer shows.
        proof: Proof,
        /// Whether a quarantine was lifted.
        is_lifted: bool,
    },
    /// Another router holds or suspects a part for crashes before it was last known to be sound; the
    /// clearance is to be sent to all routers.
    StillCleared {
        /// The part.
        part: PartId,
        /// Time of the answer.
        at: Duration,
        /// What the answer shows.
        proof: Proof,
    },
    /// Nobody asked for a part on probation for a long time.
    Forgotten {
        /// The part.
        part: PartId,
    },
    /// A quarantine was dropped because there are too many.
    Displaced {
        /// The part.
        part: PartId,
    },
}

/// What is to be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be placed.
    Pass,
    /// It may be placed, and shows whether this part is sound.
    Probe(PartId),
    /// It must not reach an engine.
    Held {
        /// The quarantined part.
        part: PartId,
        /// Time after which it may be tried again.
        remaining: Duration,
    },
}
