//! Whether an answer goes on beyond its beginning.

use {
    super::since,
    crate::{
        core::Core,
        forward::{Job, LoadGuard},
    },
    baobab_place::PartId,
    baobab_quarantine::Crash,
    std::time::Duration,
    tokio::time::Instant,
};

/// Time for which an answer must go on after its first data to show that its prompt is sound. An
/// engine that a prompt part crashes ends within a few steps.
const BEGINNING_PERIOD: Duration = Duration::from_millis(500);

/// Watches the beginning of one answer.
#[derive(Debug)]
pub struct AnswerBeginning {
    crash: Crash,
    answered_at: Option<Duration>,
    suspect_parts: Vec<PartId>,
    first_data_at: Option<Instant>,
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
                since_answer: None,
            },
            answered_at: load_guard.answered_at,
            suspect_parts: job.suspect_parts(),
            first_data_at: None,
        }
    }

    /// Records data of the answer. Returns whether the answer has gone on beyond its beginning, and
    /// then need not be watched any more.
    pub fn on_data(&mut self, core: &Core) -> bool {
        let first_data_at = *self.first_data_at.get_or_insert_with(Instant::now);
        let is_over = first_data_at.elapsed() >= BEGINNING_PERIOD;
        if is_over {
            self.record_answer(core);
        }
        is_over
    }

    /// Records that the answer is complete.
    pub fn on_complete(self, core: &Core) {
        self.record_answer(core);
    }

    /// Records that the server closed the connection in the middle of the answer.
    pub fn on_broken(self, core: &Core) {
        let now = core.now();
        let crash = Crash {
            since_answer: since(self.answered_at, now),
            ..self.crash
        };
        core.evidence.borrow_mut().on_crash(crash, now);
    }

    fn record_answer(&self, core: &Core) {
        core.evidence.borrow_mut().on_answer(
            self.crash.server,
            &self.suspect_parts,
            core.random_fraction(),
            core.now(),
        );
    }
}
