//! Load of a backend server from unfinished requests.

use std::ops::{AddAssign, SubAssign};

/// Unfinished work at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Prompt tokens to prefill of requests whose first event is outstanding.
    pub pending_prefill_tokens: u64,
    /// Number of unfinished requests.
    pub running: u64,
    /// Memory of unfinished requests, in tokens.
    pub memory_tokens: u64,
}

impl AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        self.pending_prefill_tokens += other.pending_prefill_tokens;
        self.running += other.running;
        self.memory_tokens += other.memory_tokens;
    }
}

impl SubAssign for Load {
    fn sub_assign(&mut self, other: Self) {
        self.pending_prefill_tokens = self
            .pending_prefill_tokens
            .saturating_sub(other.pending_prefill_tokens);
        self.running = self.running.saturating_sub(other.running);
        self.memory_tokens = self.memory_tokens.saturating_sub(other.memory_tokens);
    }
}
