//! Selects the orders that are due: one for each engine that does not serve its target version.

use {
    baobab_unit::EngineId,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which an order that the served version does not reflect is sent again.
const ORDER_EFFECT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a new holder waits before its first order to an engine that does not check fencing
/// numbers: an order of the previous holder may still be in flight.
const UNFENCED_ORDER_DELAY: Duration = Duration::from_secs(10);

/// Target state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineTarget {
    /// Identifier of the engine.
    pub engine: EngineId,
    /// Model version that it must serve.
    pub version: String,
    /// Whether it rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// An order to an engine. It states the target version, so it is idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease holder that sends it.
    pub fencing: u64,
    /// Model version to serve.
    pub version: String,
}

/// Orders sent by the current lease holder.
#[derive(Debug, Default)]
pub struct Plan {
    fencing: u64,
    holder_since: Duration,
    sent_at: BTreeMap<EngineId, Duration>,
}

impl Plan {
    /// Returns the order to send to an engine now, given the version that it reports to serve.
    ///
    /// At most one order to an engine is in flight.
    pub fn due_order(
        &mut self,
        now: Duration,
        fencing: u64,
        target: &EngineTarget,
        served_version: &str,
    ) -> Option<Order> {
        if fencing != self.fencing {
            self.fencing = fencing;
            self.holder_since = now;
            self.sent_at.clear();
        }
        if served_version == target.version {
            self.sent_at.remove(&target.engine);
            return None;
        }
        let is_too_early = !target.checks_fencing && now < self.holder_since + UNFENCED_ORDER_DELAY;
        let sent_at = self.sent_at.get(&target.engine);
        if is_too_early || sent_at.is_some_and(|at| now < *at + ORDER_EFFECT_TIMEOUT) {
            return None;
        }
        self.sent_at.insert(target.engine, now);
        Some(Order {
            fencing,
            version: target.version.clone(),
        })
    }
}
