//! Ejection of failing engines, and the retry budget.

use {
    baobab_unit::EngineId,
    std::{collections::BTreeMap, time::Duration},
};

/// Duration of the first ejection of an engine.
const MIN_EJECTION: Duration = Duration::from_millis(500);
/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_secs(16);
/// Consecutive failures after which an engine is ejected.
const EJECTION_FAILURES: u32 = 2;
/// Retries that each new request adds to the budget.
const RETRY_BUDGET_PER_REQUEST: f64 = 0.1;
/// Maximum retry budget: a router at full size can lose all of its streams at once.
const MAX_RETRY_BUDGET: f64 = 500.0;

#[derive(Debug, Default)]
struct EngineHealth {
    consecutive_failures: u32,
    ejected_until: Option<Duration>,
}

/// This router's view of the health of engines, and its retry budget.
#[derive(Debug)]
pub struct Health {
    engines: BTreeMap<EngineId, EngineHealth>,
    retry_budget: f64,
}

impl Health {
    /// Creates a state with every engine healthy and a full retry budget.
    pub fn new() -> Self {
        Self {
            engines: BTreeMap::new(),
            retry_budget: MAX_RETRY_BUDGET,
        }
    }

    /// Records that a stream ended without a fault of the engine, which ends any ejection.
    pub fn record_success(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }

    /// Records a failure. From `EJECTION_FAILURES` in a row, each ejects the engine for twice as
    /// long as the one before, up to `MAX_EJECTION`.
    pub fn record_failure(&mut self, now: Duration, engine: EngineId) {
        let entry = self.engines.entry(engine).or_default();
        entry.consecutive_failures += 1;
        if entry.consecutive_failures >= EJECTION_FAILURES {
            let doublings = (entry.consecutive_failures - EJECTION_FAILURES).min(8);
            let ejection = (MIN_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
            entry.ejected_until = Some(now + ejection);
        }
    }

    /// Returns whether the engine is ejected now.
    pub fn is_ejected(&self, now: Duration, engine: EngineId) -> bool {
        self.engines
            .get(&engine)
            .and_then(|entry| entry.ejected_until)
            .is_some_and(|until| now < until)
    }

    /// Adds the contribution of a new request to the retry budget.
    pub fn refill_retry_budget(&mut self) {
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(MAX_RETRY_BUDGET);
    }

    /// Spends one retry from the budget. Returns false if the budget is exhausted.
    pub fn try_spend_retry(&mut self) -> bool {
        if self.retry_budget < 1.0 {
            return false;
        }
        self.retry_budget -= 1.0;
        true
    }
}
