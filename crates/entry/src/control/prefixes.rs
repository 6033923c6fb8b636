//! Prompt prefixes that engines are likely to have cached.

use {
    baobab_unit::EngineId,
    std::collections::{BTreeMap, VecDeque},
};

/// Prefixes recorded for each engine; older ones are dropped.
const MAX_PREFIXES_PER_ENGINE: usize = 64;

/// The prompt prefixes that this router has most recently sent to each engine.
#[derive(Debug, Default)]
pub struct Prefixes {
    engines: BTreeMap<EngineId, VecDeque<u32>>,
}

impl Prefixes {
    /// Returns whether a prompt with this prefix has recently been sent to the engine.
    pub fn contains(&self, engine: EngineId, prefix: u32) -> bool {
        self.engines
            .get(&engine)
            .is_some_and(|prefixes| prefixes.contains(&prefix))
    }

    /// Records that a prompt with this prefix is sent to the engine.
    pub fn record(&mut self, engine: EngineId, prefix: u32) {
        let prefixes = self.engines.entry(engine).or_default();
        prefixes.retain(|known| *known != prefix);
        prefixes.push_back(prefix);
        if prefixes.len() > MAX_PREFIXES_PER_ENGINE {
            prefixes.pop_front();
        }
    }
}
