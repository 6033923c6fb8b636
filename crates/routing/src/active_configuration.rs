//! The active configuration and whether its keys may still be accepted.

use {
    crate::{Configuration, Confirmation},
    std::{sync::Arc, time::Duration},
};

/// Whether the store has recently confirmed the active configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationState {
    /// No configuration has been received.
    Unknown,
    /// Confirmed within the lease: its refusals are reliable.
    Confirmed,
    /// Not confirmed within the lease: it may still contain a revoked key.
    Expired,
}

/// The newest configuration received; never replaced by an older version.
#[derive(Debug)]
pub struct ActiveConfiguration {
    current: Option<Arc<Configuration>>,
    confirmed_at: Option<Duration>,
    newest: Option<Confirmation>,
    lease: Duration,
}

impl ActiveConfiguration {
    /// Creates a state without a configuration. A confirmation is valid for `lease`.
    #[must_use]
    pub fn new(lease: Duration) -> Self {
        Self {
            current: None,
            confirmed_at: None,
            newest: None,
            lease,
        }
    }

    /// Sets how long a confirmation is valid.
    pub fn set_lease(&mut self, lease: Duration) {
        self.lease = lease;
    }

    /// Activates a configuration if it is newer than the active one. Returns whether it was.
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

    /// Records that the store has confirmed a version. Ignored unless it is the active version; a
    /// newer one has to be adopted first.
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

    /// Returns the newest confirmation of the active version, for publication to other routers.
    #[must_use]
    pub fn newest_confirmation(&self) -> Option<Confirmation> {
        let version = self.current.as_ref()?.version;
        self.newest.filter(|newest| newest.version == version)
    }

    /// Returns the active configuration, if one has been received.
    #[must_use]
    pub fn current(&self) -> Option<&Arc<Configuration>> {
        self.current.as_ref()
    }

    /// Returns the age of the last confirmation; `now` is on the suspension clock.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the confirmation state at `now`, on the suspension clock.
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
