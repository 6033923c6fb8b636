//! Evidence against one prompt part.

use {
    crate::{
        Crash, Findings, PartId, Proof, RequestKey, ServerKey, Stage,
        crash_log::CrashLog,
        independent::count_independent,
        span::{ServerCrash, Span, count_spaced},
    },
    baobab_unit::WorkspaceId,
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Maximum number of crashes kept per part: the oldest and a few of the newest. A verdict that waits for all reports
/// of a crash needs those that are complete, also while others follow quickly.
const MAX_CRASHES: usize = OLDEST_CRASHES + 4;
/// Number of the oldest crashes kept: four requests that are repeated at three servers each.
const OLDEST_CRASHES: usize = 12;
/// Maximum number of candidates kept per crash and part: the earliest.
const MAX_CANDIDATES: usize = 4;
/// Time after a lasting answer with a part in which circumstantial evidence against it is void. Requests with
/// a part in use wait at every server that ends, and one of them has been answered in full shortly before.
pub(crate) const LASTING_TIME: Duration = Duration::from_mins(1);
/// Minimum number of candidates for a verdict on circumstantial evidence.
const MIN_CANDIDATES: usize = 3;
/// Maximum number of workspaces kept per part.
const MAX_WORKSPACES: usize = 8;

/// A request with the part whose answer broke in a crash.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    span: Span,
    server: ServerKey,
    request: RequestKey,
    workspace: WorkspaceId,
    parts: Arc<[PartId]>,
    content: Option<PartId>,
    stage: Stage,
    /// Time of the server's last answer when it got the request.
    answered_at: Option<Duration>,
}

impl Candidate {
    pub(crate) fn new(crash: &Crash, at: Duration) -> Self {
        let parts: BTreeSet<PartId> = crash.parts.iter().chain(&crash.content).copied().collect();
        Self {
            span: Span::at(at),
            server: crash.server,
            request: crash.request,
            workspace: crash.workspace,
            parts: parts.into_iter().collect(),
            content: crash.content,
            stage: crash.stage,
            answered_at: crash.since_answer.map(|since| at.saturating_sub(since)),
        }
    }

    pub(crate) fn parts(&self) -> &[PartId] {
        &self.parts
    }

    pub(crate) fn workspace(&self) -> WorkspaceId {
        self.workspace
    }

    pub(crate) fn at(&self) -> Duration {
        self.span.first
    }

    /// Returns whether the request may have broken off only because its server was crashed by another. All
    /// requests that wait at a server break off with it, and the longer an answer has gone on, the less
    /// likely it is the cause. What is asked as a whole again at every crash is no coincidence.
    fn is_circumstantial(&self, part: PartId) -> bool {
        match self.stage {
            Stage::Awaited => self.content != Some(part),
            Stage::Begun => false,
            Stage::Continued => true,
        }
    }

    /// Returns which answers void this evidence. What many callers ask waits at several servers when these are
    /// crashed at the same moment, so that a request's own content counts no more than other parts if its
    /// response had not begun.
    pub(crate) fn voided_by(&self) -> Proof {
        match self.stage {
            Stage::Awaited | Stage::Continued => Proof::Lasting,
            Stage::Begun => Proof::Begun,
        }
    }

    /// Returns whether answers of the kind [`Self::voided_by`] that show a part to be sound up to `sound_at`
    /// void this evidence.
    pub(crate) fn is_void(&self, sound_at: Duration) -> bool {
        let margin = match self.voided_by() {
            Proof::Begun => Duration::ZERO,
            Proof::Lasting => LASTING_TIME,
        };
        self.span.first <= sound_at + margin
    }

    fn crash(&self) -> ServerCrash {
        ServerCrash {
            span: self.span,
            server: self.server,
        }
    }

    fn is_same(&self, other: &Self) -> bool {
        self.request == other.request && self.crash().is_same(other.crash())
    }

    /// Returns whether the server was back from a crash when it got the request.
    fn is_after(&self, crash: ServerCrash) -> bool {
        self.answered_at
            .is_some_and(|answered_at| crash.span.is_over_at(answered_at))
    }

    /// Adds another observation of the same request in the same crash.
    fn merge(&mut self, other: &Self) {
        self.stage = self.stage.min(other.stage);
        self.span = self.span.union(other.span);
        self.answered_at = self.answered_at.min(other.answered_at);
    }
}

/// Candidates that hold one part, since it was last known to be sound.
#[derive(Debug, Default)]
pub(crate) struct Suspect(Vec<Candidate>);

impl Suspect {
    /// Adds a candidate. One that is known already counts once.
    pub(crate) fn insert(&mut self, mut candidate: Candidate) {
        let observed = candidate.clone();
        for known in self.0.extract_if(.., |known| known.is_same(&observed)) {
            candidate.merge(&known);
        }
        self.0.push(candidate);
        self.trim();
    }

    /// Drops the evidence that an answer voids, which shows that the part is sound up to `sound_at`. Returns
    /// whether there was any.
    pub(crate) fn clear(&mut self, proof: Proof, sound_at: Duration) -> bool {
        let count = self.0.len();
        self.0.retain(|candidate| {
            let is_voided = candidate.voided_by() == proof || proof == Proof::Lasting;
            !(is_voided && candidate.is_void(sound_at))
        });
        self.0.len() < count
    }

    /// Forgets evidence from before `oldest`.
    pub(crate) fn expire(&mut self, oldest: Duration) {
        self.0.retain(|candidate| candidate.span.first >= oldest);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether there are enough candidates for a verdict on circumstantial evidence.
    pub(crate) fn has_several_requests(&self) -> bool {
        self.0.len() >= MIN_CANDIDATES
    }

    /// Returns the rank by which parts are kept when there are too many.
    pub(crate) fn weight(&self) -> (usize, Option<Duration>) {
        (self.0.len(), self.last_crash())
    }

    /// Returns the time of the last observation of the last crash.
    pub(crate) fn last_crash(&self) -> Option<Duration> {
        self.0.iter().map(|candidate| candidate.span.last).max()
    }

    /// Returns the evidence up to `until`.
    pub(crate) fn as_of(&self, until: Duration) -> Self {
        let known = self.0.iter().filter(|candidate| candidate.at() <= until);
        Self(known.cloned().collect())
    }

    /// Returns whether candidates with another part broke off in all crashes in which those of this part did.
    pub(crate) fn is_within(&self, other: &Self) -> bool {
        let (crashes, _) = self.crashes();
        crashes.iter().all(|crash| {
            let mut others = other.0.iter().map(Candidate::crash);
            others.any(|other| other.is_same(*crash))
        })
    }

    /// Returns what the evidence amounts to, compared with all crashes.
    /// `lasting_at` is the time up to which a lasting answer shows `part` to be sound.
    pub(crate) fn findings(
        &self,
        part: PartId,
        lasting_at: Option<Duration>,
        log: &CrashLog,
    ) -> Findings {
        let (crashes, returns) = self.crashes();
        let first = crashes
            .first()
            .map_or(Duration::MAX, |crash| crash.span.first);
        let servers: BTreeSet<ServerKey> = crashes.iter().map(|crash| crash.server).collect();
        let requests: BTreeSet<RequestKey> =
            self.0.iter().map(|candidate| candidate.request).collect();
        // Different requests with a part break together if several servers lose power at once. The same
        // request is rarely at several servers then.
        let is_one_content = self.has_one_content();
        let crash_count = if is_one_content {
            crashes.len()
        } else {
            count_spaced(crashes.iter().map(|crash| crash.span.first))
        };
        Findings {
            crashes: crash_count,
            all_crashes: log.count_since(first) + returns,
            servers: servers.len(),
            requests: requests.len(),
            server_crashes: crashes.len(),
            independent_crashes: self.independent_crashes(&crashes),
            workspaces: bounded(self.0.iter().map(|candidate| candidate.workspace)),
            common: self.common(),
            is_one_content,
            was_sound: lasting_at.is_some_and(|at| first <= at + LASTING_TIME),
            is_circumstantial: self.0.iter().any(|known| known.is_circumstantial(part)),
            voided_by: self.0.iter().map(Candidate::voided_by).max(),
        }
    }

    /// Returns whether all candidates are the same request, sent again.
    fn has_one_content(&self) -> bool {
        let first = self.0.first().and_then(|candidate| candidate.content);
        first.is_some() && self.0.iter().all(|candidate| candidate.content == first)
    }

    /// Returns the parts that all candidates hold.
    fn common(&self) -> BTreeSet<PartId> {
        let Some((first, others)) = self.0.split_first() else {
            return BTreeSet::new();
        };
        let is_common = |part: &&PartId| {
            others
                .iter()
                .all(|candidate| candidate.parts.binary_search(part).is_ok())
        };
        first.parts.iter().filter(is_common).copied().collect()
    }

    /// Returns the crashes, the oldest first, and how many of them only an answer in between shows to be
    /// others than the one before.
    fn crashes(&self) -> (Vec<ServerCrash>, usize) {
        let mut observed: Vec<&Candidate> = self.0.iter().collect();
        observed.sort_unstable_by_key(|candidate| (candidate.crash(), candidate.request));
        let mut crashes: Vec<ServerCrash> = Vec::new();
        let mut returns = 0;
        for candidate in observed {
            let crash = candidate.crash();
            let last = crashes
                .iter_mut()
                .rfind(|known| known.server == crash.server);
            match last {
                Some(last) if last.is_same(crash) && !candidate.is_after(*last) => {
                    *last = last.union(crash);
                }
                last => {
                    returns += usize::from(last.is_some_and(|last| last.is_same(crash)));
                    crashes.push(crash);
                }
            }
        }
        (crashes, returns)
    }

    fn independent_crashes(&self, crashes: &[ServerCrash]) -> usize {
        let requests_by_crash: Vec<Vec<RequestKey>> = crashes
            .iter()
            .map(|crash| {
                let broken = self.0.iter().filter(|known| known.crash().is_same(*crash));
                broken.map(|candidate| candidate.request).collect()
            })
            .collect();
        count_independent(&requests_by_crash)
    }

    fn trim(&mut self) {
        if self.0.len() <= MAX_CRASHES.min(MAX_CANDIDATES) {
            return;
        }
        let (mut crashes, _) = self.crashes();
        crashes.sort_unstable();
        let dropped = crashes.len().saturating_sub(MAX_CRASHES);
        let middle =
            OLDEST_CRASHES.min(crashes.len())..(OLDEST_CRASHES + dropped).min(crashes.len());
        let is_dropped: Vec<bool> = (0..crashes.len())
            .map(|index| middle.contains(&index))
            .collect();
        let mut counts = vec![0; crashes.len()];
        self.0
            .sort_by_key(|candidate| (candidate.span, candidate.request));
        self.0.retain(|candidate| {
            let crash = candidate.crash();
            let index = crashes.iter().rposition(|known| {
                known.server == crash.server && known.span.first <= crash.span.first
            });
            index.is_some_and(|index| {
                counts[index] += 1;
                !is_dropped[index] && counts[index] <= MAX_CANDIDATES
            })
        });
    }
}

/// Returns the lowest [`MAX_WORKSPACES`] workspaces.
pub(crate) fn bounded(workspaces: impl IntoIterator<Item = WorkspaceId>) -> BTreeSet<WorkspaceId> {
    let all: BTreeSet<WorkspaceId> = workspaces.into_iter().collect();
    all.into_iter().take(MAX_WORKSPACES).collect()
}
