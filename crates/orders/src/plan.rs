//! Which order is due: the target of an engine that does not serve it yet.

use {
    baobab_unit::EngineId,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Time until an order must show in what the engine says it serves.
const EXPECTED_EFFECT: Duration = Duration::from_secs(10);
/// Time that a new holder waits before its first order to an engine that checks no fencing
/// numbers: an order of the holder before may still be on its way.
const UNCHECKED_PAUSE: Duration = Duration::from_secs(10);

/// What an engine shall serve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineTarget {
    /// The engine.
    pub engine: EngineId,
    /// Version of its model.
    pub version: String,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// An order: the target itself, so that repeating it does no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of who gives it.
    pub fencing: u64,
    /// Version to serve.
    pub version: String,
}

/// Orders given by one holder.
#[derive(Debug, Default)]
pub struct Plan {
    fencing: u64,
    since: Duration,
    given: BTreeMap<EngineId, Duration>,
}

impl Plan {
    /// Returns the order that an engine needs now, given the version that it says it serves.
    ///
    /// One order is under way to an engine at a time.
    pub fn order(
        &mut self,
        now: Duration,
        fencing: u64,
        target: &EngineTarget,
        serves: &str,
    ) -> Option<Order> {
        if fencing != self.fencing {
            self.fencing = fencing;
            self.since = now;
            self.given.clear();
        }
        if serves == target.version {
            self.given.remove(&target.engine);
            return None;
        }
        let is_too_early = !target.checks_fencing && now < self.since + UNCHECKED_PAUSE;
        let given = self.given.get(&target.engine);
        if is_too_early || given.is_some_and(|at| now < *at + EXPECTED_EFFECT) {
            return None;
        }
        self.given.insert(target.engine, now);
        Some(Order {
            fencing,
            version: target.version.clone(),
        })
    }
}
