//! A quarantined part.

use {
    crate::{
        Findings, PartId, Proof, Record,
        suspect::{LASTING_TIME, bounded},
    },
    baobab_unit::WorkspaceId,
    std::{collections::BTreeSet, time::Duration},
};

/// Interval at which one request is let through on probation.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time after the last crash for which requests are held; doubles with each level.
const BASE_HOLD: Duration = Duration::from_mins(2);
/// The same for weak evidence, unless a further crash confirms it.
const WEAK_HOLD: Duration = Duration::from_secs(3);
/// Highest level.
const MAX_LEVEL: u32 = 4;
/// Time after which a part on probation is forgotten if nobody asks for it.
const IDLE_TIME: Duration = Duration::from_mins(10);
/// Idle time from which a record of an unknown part is ignored, as it is about to be forgotten.
const MAX_ADOPTED_IDLE: Duration = Duration::from_mins(9);
/// Difference up to which times of a record equal those kept. Records take time to arrive, and a
/// time that went back and forth would grow each time.
const TOLERANCE: Duration = Duration::from_secs(1);
/// Number of named workspaces with crashes from which requests of all are held.
const MIN_SHARED_WORKSPACES: usize = 2;

/// Which requests with a part are held, and until when.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Hold {
    pub(crate) common: BTreeSet<PartId>,
    pub(crate) workspaces: BTreeSet<WorkspaceId>,
    pub(crate) last_crash: Duration,
    pub(crate) level: u32,
    /// Whether only a lasting answer lifts the hold.
    needs_lasting: bool,
    held_until: Duration,
    asked_at: Duration,
    probed_at: Option<Duration>,
    is_on_probation: bool,
    /// Whether the conviction was made here, from evidence that is known.
    is_own: bool,
}

impl Hold {
    /// Starts a hold on a conviction.
    pub(crate) fn new(findings: &Findings, last_crash: Duration) -> Self {
        let hold = if findings.is_weak() {
            WEAK_HOLD
        } else {
            BASE_HOLD
        };
        Self {
            common: findings.common.clone(),
            workspaces: findings.workspaces.clone(),
            last_crash,
            level: 0,
            needs_lasting: findings.needs_lasting(),
            held_until: last_crash + hold,
            asked_at: Duration::ZERO,
            probed_at: None,
            is_on_probation: false,
            is_own: true,
        }
    }

    /// Takes a hold over from another router, unless it is about to be forgotten.
    pub(crate) fn adopt(record: &Record, now: Duration) -> Option<Self> {
        (record.idle < MAX_ADOPTED_IDLE).then(|| Self {
            common: record.common.clone(),
            workspaces: bounded(record.workspaces.iter().copied()),
            last_crash: now.saturating_sub(record.age),
            level: record.level.min(MAX_LEVEL),
            needs_lasting: record.needs_lasting,
            held_until: held_until(record, now),
            asked_at: Duration::ZERO,
            probed_at: None,
            is_on_probation: record.remaining.is_zero(),
            is_own: false,
        })
    }

    /// Records a crash of a request with the part. Returns whether it ended a probation.
    pub(crate) fn on_crash(&mut self, at: Duration) -> bool {
        if at <= self.last_crash {
            return false;
        }
        let is_reconvicted = at >= self.held_until;
        if is_reconvicted {
            self.level = (self.level + 1).min(MAX_LEVEL);
        }
        self.is_on_probation = false;
        self.last_crash = at;
        self.held_until = self.held_until.max(at + hold_time(self.level));
        is_reconvicted
    }

    /// Holds the requests of further workspaces, and those that hold fewer of the common parts.
    /// Returns whether that changes anything.
    pub(crate) fn widen(&mut self, parts: &[PartId], workspaces: &[WorkspaceId]) -> bool {
        let common = self.common.len();
        self.common.retain(|part| parts.contains(part));
        let all = bounded(self.workspaces.iter().chain(workspaces).copied());
        let is_widened = self.common.len() < common || all != self.workspaces;
        self.workspaces = all;
        is_widened
    }

    /// Records further evidence. It may be such that only a lasting answer voids it.
    pub(crate) fn on_evidence(&mut self, voided_by: Proof) {
        self.needs_lasting |= voided_by == Proof::Lasting;
    }

    /// Returns whether an answer that shows the part to be sound up to `sound_at` lifts the hold.
    pub(crate) fn is_lifted_by(&self, proof: Proof, sound_at: Duration) -> bool {
        if self.needs_lasting && proof == Proof::Begun {
            return false;
        }
        let margin = match (self.is_own, self.needs_lasting) {
            (true, _) => Duration::ZERO,
            (false, false) => TOLERANCE,
            (false, true) => LASTING_TIME,
        };
        self.last_crash <= sound_at + margin
    }

    /// Returns whether the hold depends on the evidence that is known here.
    pub(crate) fn depends_on_evidence(&self) -> bool {
        self.is_own && self.level == 0
    }

    /// Takes over what is left of the evidence.
    pub(crate) fn narrow(&mut self, findings: &Findings) {
        self.common.clone_from(&findings.common);
        self.workspaces.clone_from(&findings.workspaces);
        self.needs_lasting = findings.needs_lasting();
    }

    /// Merges another router's record. Returns whether more requests are held than before.
    pub(crate) fn merge(&mut self, record: &Record, now: Duration) -> bool {
        self.level = self.level.max(record.level.min(MAX_LEVEL));
        self.needs_lasting |= record.needs_lasting;
        raise(&mut self.last_crash, now.saturating_sub(record.age));
        if record.remaining.is_zero() {
            raise(&mut self.asked_at, now.saturating_sub(record.idle));
        } else {
            raise(&mut self.held_until, held_until(record, now));
            self.is_on_probation &= self.remaining(now).is_zero();
        }
        let parts: Vec<PartId> = record.common.iter().copied().collect();
        let workspaces: Vec<WorkspaceId> = record.workspaces.iter().copied().collect();
        self.widen(&parts, &workspaces)
    }

    /// Returns whether a request is held.
    pub(crate) fn matches(&self, workspace: WorkspaceId, parts: &[PartId]) -> bool {
        // Anybody can send requests without a workspace, also to harm others.
        let named = self.workspaces.iter().filter(|workspace| **workspace != 0);
        let is_shared = named.count() >= MIN_SHARED_WORKSPACES;
        (is_shared || self.workspaces.contains(&workspace))
            && self.common.iter().all(|part| parts.contains(part))
    }

    /// Records that a request that matches was checked.
    pub(crate) fn on_asked(&mut self, now: Duration) {
        self.asked_at = now;
    }

    /// Returns the time left until probation.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.held_until.saturating_sub(now)
    }

    /// Returns whether a probe may be sent.
    pub(crate) fn is_probe_due(&self, now: Duration) -> bool {
        self.probed_at
            .is_none_or(|at| now.saturating_sub(at) >= PROBE_INTERVAL)
    }

    /// Records that a probe is sent.
    pub(crate) fn on_probe(&mut self, now: Duration) {
        self.probed_at = Some(now);
    }

    /// Begins the probation if it is time. Returns whether it has begun by this call.
    pub(crate) fn begin_probation(&mut self, now: Duration) -> bool {
        let begins = !self.is_on_probation && self.remaining(now).is_zero();
        self.is_on_probation |= begins;
        begins
    }

    /// Returns whether nobody asked for the part for long enough to forget it.
    pub(crate) fn is_forgotten(&self, now: Duration) -> bool {
        self.idle(now) >= IDLE_TIME
    }

    /// Returns the record for the other routers.
    pub(crate) fn record(&self, part: PartId, now: Duration) -> Record {
        Record {
            part,
            common: self.common.clone(),
            workspaces: self.workspaces.clone(),
            age: now.saturating_sub(self.last_crash),
            remaining: self.remaining(now),
            idle: self.idle(now),
            level: self.level,
            needs_lasting: self.needs_lasting,
        }
    }

    fn idle(&self, now: Duration) -> Duration {
        now.saturating_sub(self.asked_at.max(self.held_until))
    }
}

fn hold_time(level: u32) -> Duration {
    BASE_HOLD * (1 << level.min(MAX_LEVEL))
}

/// Returns the end of another router's hold, or the time since when nobody asked for the part.
fn held_until(record: &Record, now: Duration) -> Duration {
    if record.remaining.is_zero() {
        now.saturating_sub(record.idle)
    } else {
        now + record.remaining.min(hold_time(MAX_LEVEL))
    }
}

fn raise(time: &mut Duration, other: Duration) {
    if other > *time + TOLERANCE {
        *time = other;
    }
}
