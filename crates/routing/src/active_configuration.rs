//! Which configuration is in force, and whether keys may still be accepted under it.

use {
    crate::{Configuration, Confirmation},
    std::{sync::Arc, time::Duration},
};

/// How far the configuration in force can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationState {
    /// No configuration has been received.
    Unknown,
    /// Confirmed within the lease: what it refuses is refused for good reason.
    Confirmed,
    /// Not confirmed within the lease: a revoked key could still be in it.
    Expired,
}

/// The configuration in force. It never goes back to an older version.
#[derive(Debug)]
pub struct ActiveConfiguration {
    current: Option<Arc<Configuration>>,
    confirmed_at: Option<Duration>,
    newest: Option<Confirmation>,
    lease: Duration,
}

impl ActiveConfiguration {
    /// Starts without a configuration. Confirmations count for `lease`.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            current: None,
            confirmed_at: None,
            newest: None,
            lease,
        }
    }

    /// Changes how long confirmations count.
    pub fn set_lease(&mut self, lease: Duration) {
        self.lease = lease;
    }

    /// Puts a configuration into force. Returns false where a newer one already is.
    pub fn adopt(&mut self, configuration: Arc<Configuration>) -> bool {
        let is_newer = self
            .current
            .as_ref()
            .is_none_or(|current| configuration.version > current.version);
        if is_newer {
            self.current = Some(configuration);
        }
        is_newer
    }

    /// Takes in that the store has confirmed a version. Older versions than the one in force say
    /// nothing, newer ones have to be adopted first.
    pub fn confirm(&mut self, confirmation: Confirmation) {
        let Some(current) = &self.current else {
            return;
        };
        if confirmation.version == current.version {
            self.confirmed_at = self.confirmed_at.max(Some(confirmation.as_of));
            let is_newer = self.newest.is_none_or(|newest| {
                confirmation.store_time > newest.store_time || confirmation.version > newest.version
            });
            if is_newer {
                self.newest = Some(confirmation);
            }
        }
    }

    /// Returns the newest confirmation of the version in force, to be told to other routers.
    #[must_use]
    pub fn newest_confirmation(&self) -> Option<Confirmation> {
        let version = self.current.as_ref()?.version;
        self.newest.filter(|newest| newest.version == version)
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Returns the age of the last confirmation.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns how far the configuration can be relied on at `now`, on a clock that counts
    /// suspension.
    #[must_use]
    pub fn confirmation_state(&self, now: Duration) -> ConfirmationState {
        if self.current.is_none() {
            return ConfirmationState::Unknown;
        }
        match self.age(now) {
            Some(age) if age <= self.lease => ConfirmationState::Confirmed,
            _ => ConfirmationState::Expired,
        }
    }
}
