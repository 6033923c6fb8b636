//! Evidence against prompt parts and the parts in quarantine.

use {
    crate::{
        Crash, Decision, Findings, MAX_PARTS, PROBE_INTERVAL, PartId, Proof, Verdict,
        crash_log::CrashLog,
        hold::Hold,
        soundness::Soundness,
        suspect::{Candidate, Suspect},
    },
    baobab_unit::WorkspaceId,
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which evidence is kept.
const EVIDENCE_LIFETIME: Duration = Duration::from_mins(2);
/// Maximum number of parts with evidence.
const MAX_SUSPECTS: usize = 1024;
/// Maximum number of quarantined parts.
const MAX_HOLDS: usize = 256;
/// Time after an answer withstood a part in which crashes are no evidence against it. Requests that
/// had the part at that time may be candidates, and clearances take time to arrive.
const SOUND_TIME: Duration = Duration::from_millis(500);
/// Start of the callers' clock on the clock used inside, so that a crash from before a router's
/// start keeps its age.
pub(crate) const CLOCK_START: Duration = Duration::from_hours(24);

/// Prompt parts that crash engines, and those that are suspected to.
#[derive(Debug, Default)]
pub struct Quarantine {
    pub(crate) log: CrashLog,
    pub(crate) suspects: BTreeMap<PartId, Suspect>,
    pub(crate) holds: BTreeMap<PartId, Hold>,
    pub(crate) soundness: Soundness,
}

impl Quarantine {
    /// Creates a state without evidence.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request whose answer broke soon after it began, here or at another router. `at` is
    /// the time of the crash. Requests without parts count as well: they show that crashes have other
    /// causes.
    pub fn on_crash(&mut self, crash: &Crash, at: Duration, now: Duration) -> Vec<Decision> {
        let now = now + CLOCK_START;
        let at = (at + CLOCK_START).min(now);
        if now.saturating_sub(at) > EVIDENCE_LIFETIME {
            return Vec::new();
        }
        self.log.expire(now.saturating_sub(EVIDENCE_LIFETIME));
        self.log.insert(crash.server, at);
        if crash.parts.len() > MAX_PARTS {
            return Vec::new();
        }
        let candidate = Candidate::new(crash, at);
        let voided_by = candidate.voided_by();
        let mut decisions = Vec::new();
        for &part in candidate.parts() {
            match self.soundness.sound_at(part, voided_by) {
                Some((sound_at, proof)) if candidate.is_void(sound_at) => {
                    let announced_at = self.soundness.announced_at(part, voided_by);
                    if !announced_at.is_some_and(|at| candidate.is_void(at)) {
                        decisions.push(self.still_cleared(part, proof, sound_at));
                    }
                }
                _ => {
                    let findings = self.on_evidence(part, &candidate);
                    decisions.extend(self.judge(part, &candidate, findings, now));
                }
            }
        }
        decisions
    }

    /// Records what an answer of this router shows of the parts of its prompt: that they are sound. The other
    /// routers are to be told of the parts that it clears.
    pub fn on_withstood(
        &mut self,
        parts: &[PartId],
        proof: Proof,
        at: Duration,
        now: Duration,
    ) -> Vec<Decision> {
        let now = now + CLOCK_START;
        let sound_at = (at + CLOCK_START).min(now) + SOUND_TIME;
        let mut decisions = Vec::new();
        for &part in parts {
            match self.clear(part, proof, sound_at) {
                Some(cleared) => decisions.push(cleared),
                None => self
                    .soundness
                    .by_mut(proof)
                    .on_withstood(part, sound_at, now),
            }
        }
        decisions
    }

    /// Applies another router's clearance of a part.
    pub fn on_clearance(
        &mut self,
        part: PartId,
        proof: Proof,
        at: Duration,
        now: Duration,
    ) -> Option<Decision> {
        let sound_at = at.min(now) + CLOCK_START + SOUND_TIME;
        let cleared = self.clear(part, proof, sound_at);
        self.soundness.by_mut(proof).on_cleared(part, sound_at);
        cleared
    }

    /// Decides on a request before it is placed. `is_owner` tells whether this router sends the
    /// probes with a part; `parts` must be in the same order on every router.
    pub fn check(
        &mut self,
        workspace: WorkspaceId,
        parts: &[PartId],
        is_owner: impl Fn(PartId) -> bool,
        now: Duration,
    ) -> Verdict {
        if self.holds.is_empty() {
            return Verdict::Pass;
        }
        let now = now + CLOCK_START;
        let mut first = None;
        let mut longest: Option<(Duration, PartId)> = None;
        for &part in parts {
            let Some(hold) = self.holds.get_mut(&part) else {
                continue;
            };
            if !hold.matches(workspace, parts) {
                continue;
            }
            hold.on_asked(now);
            first = first.or(Some(part));
            let remaining = hold.remaining(now);
            if longest.is_none_or(|(time, _)| remaining > time) {
                longest = Some((remaining, part));
            }
        }
        let (Some(first), Some((remaining, part))) = (first, longest) else {
            return Verdict::Pass;
        };
        if !remaining.is_zero() {
            return Verdict::Held { part, remaining };
        }
        // One part decides, or parts with different owners would never be probed.
        match self.holds.get_mut(&first) {
            Some(hold) if is_owner(first) && hold.is_probe_due(now) => {
                hold.on_probe(now);
                Verdict::Probe(first)
            }
            _ => Verdict::Held {
                part: first,
                remaining: PROBE_INTERVAL,
            },
        }
    }

    /// Judges circumstantial evidence, begins probations and forgets what is too long ago.
    pub fn expire(&mut self, now: Duration) -> Vec<Decision> {
        let now = now + CLOCK_START;
        let oldest = now.saturating_sub(EVIDENCE_LIFETIME);
        self.log.expire(oldest);
        self.soundness.expire(now);
        self.suspects.retain(|_, suspect| {
            suspect.expire(oldest);
            !suspect.is_empty()
        });
        let mut decisions = self.judge_settled(now);
        self.holds.retain(|&part, hold| {
            if hold.begin_probation(now) {
                decisions.push(Decision::ProbationBegan { part });
            }
            let is_forgotten = hold.is_forgotten(now);
            if is_forgotten {
                decisions.push(Decision::Forgotten { part });
            }
            !is_forgotten
        });
        decisions
    }

    /// Returns the number of parts with evidence.
    #[must_use]
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of quarantined parts.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.holds.len()
    }

    /// Returns the number of parts remembered as sound.
    #[must_use]
    pub fn sound(&self) -> usize {
        self.soundness.len()
    }

    /// Drops the evidence up to `sound_at`. Returns the clearance if there was any.
    fn clear(&mut self, part: PartId, proof: Proof, sound_at: Duration) -> Option<Decision> {
        let had_evidence = self.clear_suspect(part, proof, sound_at);
        let is_lifted = self.lift(part, proof, sound_at, had_evidence);
        if !had_evidence && !is_lifted {
            return None;
        }
        self.soundness.by_mut(proof).on_cleared(part, sound_at);
        Some(Decision::Cleared {
            part,
            at: sound_at.saturating_sub(CLOCK_START + SOUND_TIME),
            proof,
            is_lifted,
        })
    }

    pub(crate) fn still_cleared(
        &mut self,
        part: PartId,
        proof: Proof,
        sound_at: Duration,
    ) -> Decision {
        self.soundness.by_mut(proof).on_cleared(part, sound_at);
        Decision::StillCleared {
            part,
            proof,
            at: sound_at.saturating_sub(CLOCK_START + SOUND_TIME),
        }
    }

    /// Adds the evidence. Returns the findings and whether their spaced crashes have become more.
    fn on_evidence(&mut self, part: PartId, candidate: &Candidate) -> (Findings, bool) {
        self.make_room_for_suspect(part);
        let crashes_before = self.findings(part).unwrap_or_default().crashes;
        let suspect = self.suspects.entry(part).or_default();
        suspect.insert(candidate.clone());
        let findings = self.findings(part).unwrap_or_default();
        // All parts of all requests that wait at a server break off with it; only some come again.
        let is_notable = !findings.is_circumstantial || findings.crashes > 1;
        let is_more = is_notable && findings.crashes > crashes_before;
        (findings, is_more)
    }

    /// Decides on a part whose evidence has changed to `findings`.
    fn judge(
        &mut self,
        part: PartId,
        candidate: &Candidate,
        (mut findings, is_more): (Findings, bool),
        now: Duration,
    ) -> Vec<Decision> {
        if let Some(hold) = self.holds.get_mut(&part) {
            hold.on_evidence(candidate.voided_by());
            let is_widened = hold.widen(candidate.parts(), &[candidate.workspace()]);
            if hold.on_crash(candidate.at()) {
                findings.common.clone_from(&hold.common);
                findings.workspaces.clone_from(&hold.workspaces);
                return vec![quarantined(part, findings, hold, now)];
            }
            return is_widened
                .then(|| widened(part, hold))
                .into_iter()
                .collect();
        }
        // Circumstantial evidence is judged once all routers have reported what they saw.
        if findings.is_circumstantial || !findings.is_conviction() {
            return is_more
                .then_some(Decision::Suspected { part, findings })
                .into_iter()
                .collect();
        }
        let last_crash = self.suspects.get(&part).and_then(Suspect::last_crash);
        let hold = Hold::new(&findings, last_crash.unwrap_or(candidate.at()));
        let decision = quarantined(part, findings, &hold, now);
        let displaced = self.insert_hold(part, hold);
        std::iter::once(decision).chain(displaced).collect()
    }

    /// Returns what the evidence against a part amounts to, if there is any.
    pub(crate) fn findings(&self, part: PartId) -> Option<Findings> {
        let suspect = self.suspects.get(&part)?;
        Some(suspect.findings(part, self.lasting_at(part), &self.log))
    }

    /// Returns the time up to which a lasting answer shows a part to be sound.
    pub(crate) fn lasting_at(&self, part: PartId) -> Option<Duration> {
        let sound_at = self.soundness.sound_at(part, Proof::Lasting);
        sound_at.map(|(at, _)| at)
    }

    fn clear_suspect(&mut self, part: PartId, proof: Proof, sound_at: Duration) -> bool {
        let Some(suspect) = self.suspects.get_mut(&part) else {
            return false;
        };
        let had_evidence = suspect.clear(proof, sound_at);
        if suspect.is_empty() {
            self.suspects.remove(&part);
        }
        had_evidence
    }

    /// Ends a hold that a sound part no longer justifies. Returns whether there was one.
    fn lift(&mut self, part: PartId, proof: Proof, sound_at: Duration, had_evidence: bool) -> bool {
        let findings = self.findings(part).unwrap_or_default();
        let Some(hold) = self.holds.get_mut(&part) else {
            return false;
        };
        let mut is_void = hold.is_lifted_by(proof, sound_at);
        if had_evidence && hold.depends_on_evidence() {
            hold.narrow(&findings);
            is_void |= !findings.is_conviction();
        }
        if is_void {
            self.holds.remove(&part);
        }
        is_void
    }

    fn make_room_for_suspect(&mut self, part: PartId) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&part) {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| suspect.weight());
        if let Some(least) = least.map(|(part, _)| *part) {
            self.suspects.remove(&least);
        }
    }

    /// Adds a hold. Returns the one that had to make room for it.
    pub(crate) fn insert_hold(&mut self, part: PartId, hold: Hold) -> Option<Decision> {
        self.holds.insert(part, hold);
        if self.holds.len() <= MAX_HOLDS {
            return None;
        }
        let oldest = self.holds.iter().min_by_key(|(_, hold)| hold.last_crash);
        let part = oldest.map(|(part, _)| *part)?;
        self.holds.remove(&part);
        Some(Decision::Displaced { part })
    }
}

pub(crate) fn quarantined(
    part: PartId,
    findings: Findings,
    hold: &Hold,
    now: Duration,
) -> Decision {
    Decision::Quarantined {
        part,
        findings,
        hold: hold.remaining(now),
        level: hold.level,
    }
}

pub(crate) fn widened(part: PartId, hold: &Hold) -> Decision {
    Decision::Widened {
        part,
        common: hold.common.clone(),
        workspaces: hold.workspaces.clone(),
    }
}
