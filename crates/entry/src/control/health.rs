//! Engines that have failed, and the budget for sending requests again.

use {
    baobab_unit::EngineId,
    std::{collections::BTreeMap, time::Duration},
};

/// Time that an engine is left alone after its first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest time that an engine is left alone.
const LONGEST_PAUSE: Duration = Duration::from_secs(16);
/// Failures in a row after which an engine is left alone.
const FAILURE_LIMIT: u32 = 2;
/// Part of a retry that each request pays for.
const RETRY_PER_REQUEST: f64 = 0.1;
/// Retries that may be saved up: a router at full size may lose all of its streams at once.
const RETRY_BURST: f64 = 500.0;

#[derive(Debug, Default)]
struct EngineHealth {
    failures: u32,
    paused_until: Option<Duration>,
}

/// Health of engines as this router sees it.
#[derive(Debug)]
pub struct Health {
    engines: BTreeMap<EngineId, EngineHealth>,
    retry_budget: f64,
}

impl Health {
    /// Starts with every engine healthy and a full budget.
    pub fn new() -> Self {
        Self {
            engines: BTreeMap::new(),
            retry_budget: RETRY_BURST,
        }
    }

    /// Notes that a stream ended well.
    pub fn succeeded(&mut self, engine: EngineId) {
        self.engines.remove(&engine);
    }

    /// Notes a failure. After some in a row the engine is left alone, each time for longer.
    pub fn failed(&mut self, now: Duration, engine: EngineId) {
        let entry = self.engines.entry(engine).or_default();
        entry.failures += 1;
        if entry.failures >= FAILURE_LIMIT {
            let doublings = (entry.failures - FAILURE_LIMIT).min(8);
            let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
            entry.paused_until = Some(now + pause);
        }
    }

    /// Tells whether the engine is left alone now.
    pub fn is_failing(&self, now: Duration, engine: EngineId) -> bool {
        self.engines
            .get(&engine)
            .and_then(|entry| entry.paused_until)
            .is_some_and(|until| now < until)
    }

    /// Lets a new request pay into the retry budget.
    pub fn earn_retry(&mut self) {
        self.retry_budget = (self.retry_budget + RETRY_PER_REQUEST).min(RETRY_BURST);
    }

    /// Takes a retry from the budget, if there is one.
    pub fn spend_retry(&mut self) -> bool {
        if self.retry_budget < 1.0 {
            return false;
        }
        self.retry_budget -= 1.0;
        true
    }
}
