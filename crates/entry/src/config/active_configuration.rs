//! The active configuration, shared by all threads.

use {
    baobab_conf::Declarations,
    std::{
        sync::{Arc, PoisonError, RwLock},
        time::Duration,
    },
};

/// One version of the configuration.
#[derive(Debug)]
pub struct Configuration {
    /// Version of the head row that named it.
    pub version: u64,
    /// Digest of the text; key of its object in the store.
    pub digest: String,
    /// Text as the operator applied it.
    pub text: String,
    /// Parsed text.
    pub declarations: Declarations,
}

#[derive(Debug, Default)]
struct State {
    current: Option<Arc<Configuration>>,
    confirmed_at: Option<Duration>,
}

/// Holds the active configuration. Its version never decreases.
#[derive(Debug, Default)]
pub struct ActiveConfiguration {
    state: RwLock<State>,
}

impl ActiveConfiguration {
    /// Returns the active configuration, or `None` before the first one.
    pub fn get(&self) -> Option<Arc<Configuration>> {
        self.state
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .current
            .clone()
    }

    /// Returns the active version, or zero before the first one.
    pub fn version(&self) -> u64 {
        self.get().map_or(0, |configuration| configuration.version)
    }

    /// Activates a configuration. Returns false if its version is not newer than the active one.
    pub fn adopt(&self, configuration: Arc<Configuration>) -> bool {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let current_version = state.current.as_ref().map_or(0, |current| current.version);
        if configuration.version <= current_version {
            return false;
        }
        state.current = Some(configuration);
        true
    }

    /// Records that the head row was read from the platform's table at this time.
    pub fn confirm(&self, now: Duration) {
        self.state
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .confirmed_at = Some(now);
    }

    /// Returns when the head row was last read from the platform's table.
    pub fn confirmed_at(&self) -> Option<Duration> {
        self.state
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .confirmed_at
    }
}
