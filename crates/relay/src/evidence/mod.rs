//! Evidence against prompt parts and requests that crash servers: what this router sees, and what it
//! exchanges with the others.

mod beginning;
mod decisions;
mod outbox;

use {
    crate::{
        core::Core,
        forward::{Job, LoadGuard},
        gossip::EvidenceMessage,
    },
    baobab_place::{PartId, ServerKey},
    baobab_quarantine::{Crash, Decision, Proof, Quarantine, Stage, Verdict},
    baobab_unit::{WorkspaceId, millis},
    std::{collections::HashMap, time::Duration},
};

pub use {beginning::AnswerBeginning, outbox::EvidenceOutbox};

/// Interval at which the quarantined parts are told, to routers that started later or missed a
/// datagram.
const RECORDS_INTERVAL: Duration = Duration::from_secs(1);
/// Routers of a fleet that tell them in each interval; in larger fleets each does so less often.
const RECORD_SENDERS: u32 = 6;
/// Time for which the last answer of a server is remembered; as long as evidence is kept.
const ANSWER_LIFETIME: Duration = Duration::from_mins(2);

/// Returns the evidence that a server closed the connection before the head of a response arrived. All requests
/// that wait at a server break with it, so that this is weaker evidence than the end of a response that has
/// begun. A server that crashes as it begins to write often takes the head with it.
#[must_use]
pub fn awaited_crash(core: &Core, job: &Job, load_guard: &LoadGuard) -> Crash {
    Crash {
        server: load_guard.server.key,
        request: job.key,
        workspace: job.workspace(),
        parts: job.shared_parts(),
        content: Some(job.content_key.get()),
        stage: Stage::Awaited,
        since_answer: since(load_guard.answered_at, core.now()),
    }
}

/// Records evidence.
pub fn on_crash(core: &Core, crash: Crash) {
    core.evidence.borrow_mut().on_crash(crash, core.now());
}

fn since(answered_at: Option<Duration>, now: Duration) -> Option<Duration> {
    answered_at.map(|at| now.saturating_sub(at))
}

/// The quarantine of this router, and its reports to the others.
#[derive(Debug, Default)]
pub struct Evidence {
    quarantine: Quarantine,
    outbox: EvidenceOutbox,
    answers: HashMap<ServerKey, Duration>,
    records_due_at: Duration,
}

impl Evidence {
    /// Records that a server closed the connection before it answered, or as it began to.
    pub fn on_crash(&mut self, crash: Crash, now: Duration) {
        log::info!(
            server = crash.server,
            request = crash.request,
            workspace = crash.workspace,
            parts:? = crash.parts,
            content:? = crash.content,
            stage:? = crash.stage,
            since_answer_ms:? = crash.since_answer.map(millis);
            "server closed the connection of a request"
        );
        let decisions = self.quarantine.on_crash(&crash, now, now);
        self.outbox.put_crash(crash, now);
        self.apply(&decisions, 0.0, now);
    }

    /// Returns the time of a server's last answer.
    #[must_use]
    pub fn answered_at(&self, server: ServerKey) -> Option<Duration> {
        self.answers.get(&server).copied()
    }

    /// Records what a server's answer to a prompt with these parts shows of them.
    /// `random_fraction` in `0.0..1.0` spreads what many routers report.
    pub fn on_answer(
        &mut self,
        server: ServerKey,
        parts: &[PartId],
        proof: Proof,
        random_fraction: f64,
        now: Duration,
    ) {
        self.answers.insert(server, now);
        let decisions = self.quarantine.on_withstood(parts, proof, now, now);
        for decision in &decisions {
            if let Decision::Cleared {
                part, at, proof, ..
            } = decision
            {
                self.outbox
                    .put_clearance(*part, *proof, *at, random_fraction, now);
            }
        }
        self.apply(&decisions, random_fraction, now);
    }

    /// Returns whether a request may be sent to an engine.
    pub fn check(
        &mut self,
        workspace: WorkspaceId,
        parts: &[PartId],
        is_owner: impl Fn(PartId) -> bool,
        now: Duration,
    ) -> Verdict {
        self.quarantine.check(workspace, parts, is_owner, now)
    }

    /// Applies the evidence of another router.
    pub fn receive(&mut self, message: &EvidenceMessage, random_fraction: f64, now: Duration) {
        let mut decisions = Vec::new();
        for report in &message.crashes {
            let at = now.saturating_sub(report.age);
            decisions.extend(self.quarantine.on_crash(&report.crash, at, now));
        }
        for clearance in &message.clearances {
            let at = now.saturating_sub(clearance.age);
            self.outbox.drop_clearance(clearance.part, clearance.proof);
            let decision = self
                .quarantine
                .on_clearance(clearance.part, clearance.proof, at, now);
            decisions.extend(decision);
        }
        for record in &message.records {
            decisions.extend(self.quarantine.merge(record, now));
        }
        self.apply(&decisions, random_fraction, now);
    }

    /// Returns what is to be sent to the other routers of a fleet of this size now.
    pub fn take_message(&mut self, fleet_size: u32, now: Duration) -> EvidenceMessage {
        let mut message = self.outbox.take(now);
        if message.is_empty() && now >= self.records_due_at {
            let interval = RECORDS_INTERVAL * fleet_size.max(RECORD_SENDERS) / RECORD_SENDERS;
            self.records_due_at = now + interval;
            message.records = self.quarantine.records(now);
        }
        message
    }

    /// Drops old evidence, and ends quarantines.
    pub fn expire(&mut self, now: Duration) {
        self.answers
            .retain(|_, at| now.saturating_sub(*at) <= ANSWER_LIFETIME);
        let decisions = self.quarantine.expire(now);
        self.apply(&decisions, 0.0, now);
    }

    /// Returns the number of quarantined parts.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.quarantine.quarantined()
    }

    fn apply(&mut self, decisions: &[Decision], random_fraction: f64, now: Duration) {
        for decision in decisions {
            decisions::log_decision(decision);
            if let Decision::Quarantined { .. } = decision {
                // Routers that lack the earlier evidence learn of the quarantine at once.
                self.records_due_at = now;
            }
            if let Decision::StillCleared { part, at, proof } = decision {
                self.outbox
                    .put_clearance(*part, *proof, *at, random_fraction, now);
            }
        }
    }
}
