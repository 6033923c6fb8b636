//! The attempts that were made for a request.

use {
    baobab_place::ServerKey,
    std::cell::{Cell, RefCell},
};

/// Counts the attempts made for a request, also those that are cancelled before they end.
#[derive(Debug, Default)]
pub struct Attempts {
    tried: RefCell<Vec<ServerKey>>,
    sent: Cell<u32>,
    unreachable: Cell<u32>,
    silent: Cell<Option<ServerKey>>,
}

impl Attempts {
    /// Returns the servers that get no further attempt.
    #[must_use]
    pub fn tried(&self) -> Vec<ServerKey> {
        self.tried.borrow().clone()
    }

    /// Returns how often the request was sent to a server.
    #[must_use]
    pub fn sent(&self) -> u32 {
        self.sent.get()
    }

    /// Records that the request is about to be sent to a server.
    pub fn begin(&self, server: ServerKey) {
        self.tried.borrow_mut().push(server);
        self.sent.set(self.sent.get() + 1);
    }

    /// Records that a server is silent. Returns whether it was not known to be.
    pub fn is_first_silence(&self, server: ServerKey) -> bool {
        self.silent.replace(Some(server)) != Some(server)
    }

    /// Records that the attempt begun last was not sent, since its server could not be reached or
    /// takes no requests. Returns how many were not.
    pub fn on_unsent(&self) -> u32 {
        self.sent.set(self.sent.get().saturating_sub(1));
        self.unreachable.set(self.unreachable.get() + 1);
        self.unreachable.get()
    }
}
