//! Counts the requests in flight and the memory of their bodies.

use {crate::core::Core, std::rc::Rc};

/// Request bodies may use the process's memory divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// Counts a request as in flight, and the bytes of its body, until it is dropped.
pub struct InFlight {
    core: Rc<Core>,
    body_bytes: u64,
    id: Option<String>,
    has_response: bool,
}

impl InFlight {
    /// Counts a request; `id` is for the logs.
    #[must_use]
    pub fn begin(core: &Rc<Core>, id: Option<String>) -> Self {
        core.in_flight.set(core.in_flight.get() + 1);
        core.metrics.in_flight.inc();
        Self {
            core: Rc::clone(core),
            body_bytes: 0,
            id,
            has_response: false,
        }
    }

    /// Returns the id of the request, or none if its head was invalid.
    #[must_use]
    pub fn id(&self) -> Option<&str> {
        self.id.as_deref()
    }

    /// Records that the head of the response is ready.
    pub fn on_response(&mut self) {
        self.has_response = true;
    }

    /// Counts bytes of the body. Returns whether all bodies fit their part of the memory.
    pub fn add_body_bytes(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        self.body_bytes += bytes;
        let body_bytes = self.core.body_bytes.get() + bytes;
        self.core.body_bytes.set(body_bytes);
        body_bytes <= self.core.settings.memory_bytes / BODY_MEMORY_DIVISOR
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.has_response {
            log::info!(id = self.id().unwrap_or("-"); "caller has left");
        }
        self.core.in_flight.set(self.core.in_flight.get() - 1);
        self.core.metrics.in_flight.dec();
        self.core
            .body_bytes
            .set(self.core.body_bytes.get() - self.body_bytes);
    }
}
