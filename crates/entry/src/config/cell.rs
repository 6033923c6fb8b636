//! The configuration that all threads read.

use {
    baobab_conf::Declarations,
    std::{
        sync::{Arc, PoisonError, RwLock},
        time::Duration,
    },
};

/// A configuration in force.
#[derive(Debug)]
pub struct InForce {
    /// Version of the head row.
    pub version: u64,
    /// Digest of the content.
    pub digest: String,
    /// The text as applied.
    pub text: String,
    /// The content.
    pub declarations: Declarations,
}

#[derive(Debug, Default)]
struct State {
    in_force: Option<Arc<InForce>>,
    confirmed: Option<Duration>,
}

/// Holds the configuration in force. Its version never goes down.
#[derive(Debug, Default)]
pub struct ConfigCell {
    state: RwLock<State>,
}

impl ConfigCell {
    /// Returns the configuration in force, if there is one yet.
    pub fn get(&self) -> Option<Arc<InForce>> {
        self.state
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .in_force
            .clone()
    }

    /// Returns the version in force; zero for none.
    pub fn version(&self) -> u64 {
        self.get().map_or(0, |in_force| in_force.version)
    }

    /// Puts a configuration in force. Returns false where a newer one, or itself, is in force.
    pub fn put(&self, in_force: Arc<InForce>) -> bool {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        let current = state.in_force.as_ref().map_or(0, |current| current.version);
        if in_force.version <= current {
            return false;
        }
        state.in_force = Some(in_force);
        true
    }

    /// Notes that the platform's table has just said which version is in force.
    pub fn confirm(&self, now: Duration) {
        self.state
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .confirmed = Some(now);
    }

    /// Returns when the platform's table last said which version is in force.
    pub fn confirmed(&self) -> Option<Duration> {
        self.state
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .confirmed
    }
}
