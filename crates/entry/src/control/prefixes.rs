//! Prompt prefixes that engines are likely to have cached.

use {
    baobab_unit::EngineId,
    std::collections::{BTreeMap, VecDeque},
};

/// Prefixes remembered for each engine.
const REMEMBERED: usize = 64;

/// The prefixes that this router has lately sent to each engine.
#[derive(Debug, Default)]
pub struct Prefixes {
    engines: BTreeMap<EngineId, VecDeque<u32>>,
}

impl Prefixes {
    /// Tells whether the engine has lately been sent a prompt with this prefix.
    pub fn contains(&self, engine: EngineId, prefix: u32) -> bool {
        self.engines
            .get(&engine)
            .is_some_and(|prefixes| prefixes.contains(&prefix))
    }

    /// Notes that a prompt with this prefix is sent to the engine.
    pub fn add(&mut self, engine: EngineId, prefix: u32) {
        let prefixes = self.engines.entry(engine).or_default();
        prefixes.retain(|known| *known != prefix);
        prefixes.push_back(prefix);
        if prefixes.len() > REMEMBERED {
            prefixes.pop_front();
        }
    }
}
