//! Whether an answer goes on beyond its beginning.

use {
    super::since,
    crate::{
        core::Core,
        forward::{Job, LoadGuard},
    },
    baobab_place::PartId,
    baobab_quarantine::{Crash, Proof, Stage},
    std::time::Duration,
    tokio::time::Instant,
};

/// Time for which an answer must go on after its first data so that its end is probably not the fault of its
/// prompt. Most engines that a prompt part crashes end within a few steps.
const BEGINNING_PERIOD: Duration = Duration::from_millis(500);
/// Time for which an answer that is not complete must go on to show that its prompt is sound.
const LASTING_PERIOD: Duration = Duration::from_secs(2);

/// Watches the beginning of one answer.
#[derive(Debug)]
pub struct AnswerBeginning {
    crash: Crash,
    answered_at: Option<Duration>,
    suspect_parts: Vec<PartId>,
    first_data_at: Option<Instant>,
    /// Whether it has gone on beyond its beginning.
    has_continued: bool,
}

impl AnswerBeginning {
    /// Watches an answer to a request.
    #[must_use]
    pub fn of(job: &Job, load_guard: &LoadGuard) -> Self {
        Self {
            crash: Crash {
                server: load_guard.server.key,
                request: job.key,
                workspace: job.workspace(),
                parts: job.shared_parts(),
                content: Some(job.content_key.get()),
                stage: Stage::Begun,
                since_answer: None,
            },
            answered_at: load_guard.answered_at,
            suspect_parts: job.suspect_parts(),
            first_data_at: None,
            has_continued: false,
        }
    }

    /// Records data of the answer. Returns whether the answer has gone on for so long that it need not be
    /// watched any more.
    pub fn on_data(&mut self, core: &Core) -> bool {
        let first_data_at = *self.first_data_at.get_or_insert_with(Instant::now);
        let elapsed = first_data_at.elapsed();
        if elapsed >= LASTING_PERIOD {
            self.record_answer(core, Proof::Lasting);
            return true;
        }
        if elapsed >= BEGINNING_PERIOD && !self.has_continued {
            self.has_continued = true;
            self.record_answer(core, Proof::Begun);
        }
        false
    }

    /// Records that the answer is complete.
    pub fn on_complete(self, core: &Core) {
        self.record_answer(core, Proof::Lasting);
    }

    /// Records that the server closed the connection in the middle of the answer.
    pub fn on_broken(self, core: &Core) {
        let now = core.now();
        let stage = if self.has_continued {
            Stage::Continued
        } else {
            Stage::Begun
        };
        let crash = Crash {
            stage,
            since_answer: since(self.answered_at, now),
            ..self.crash
        };
        core.evidence.borrow_mut().on_crash(crash, now);
    }

    fn record_answer(&self, core: &Core, proof: Proof) {
        core.evidence.borrow_mut().on_answer(
            self.crash.server,
            &self.suspect_parts,
            proof,
            core.random_fraction(),
            core.now(),
        );
    }
}
