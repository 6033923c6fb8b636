//! Counts the requests that are under way.

use {crate::core::Core, std::rc::Rc};

/// Part of the process's memory that bodies of requests may take.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Counts a request as under way, and its body as held, until it is dropped.
pub struct UnderWay {
    core: Rc<Core>,
    held_bytes: u64,
    id: Option<String>,
    has_answer: bool,
}

impl UnderWay {
    /// Counts a request; its id is for the logs.
    #[must_use]
    pub fn begin(core: &Rc<Core>, id: Option<String>) -> Self {
        core.under_way.set(core.under_way.get() + 1);
        core.metrics.under_way.inc();
        Self {
            core: Rc::clone(core),
            held_bytes: 0,
            id,
            has_answer: false,
        }
    }

    /// Returns the id of the request, where its head could be read.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// Notes that the head of its answer is ready.
    pub fn on_answer(&mut self) {
        self.has_answer = true;
    }

    /// Counts bytes of its body. Returns false where bodies take too much memory.
    pub fn hold(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        self.held_bytes += bytes;
        let held = self.core.held_bytes.get() + bytes;
        self.core.held_bytes.set(held);
        held <= self.core.settings.memory_bytes / BODY_MEMORY_DIVISOR
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        if !self.has_answer {
            log::info!(id = self.id().unwrap_or("-"); "caller has left");
        }
        self.core.under_way.set(self.core.under_way.get() - 1);
        self.core.metrics.under_way.dec();
        self.core
            .held_bytes
            .set(self.core.held_bytes.get() - self.held_bytes);
    }
}
