//! Which prompt parts an engine probably holds.

use {
    crate::{Part, PartId, Prompt},
    std::{collections::HashMap, time::Duration},
};

/// Room that is left free before parts are forgotten together, so that eviction is rare.
const SLACK_DIVISOR: u64 = 8;

/// Time after which another use of a part is news, so that all routers forget in the same order.
const REFRESH: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Held {
    tokens: u64,
    used_at: Duration,
}

/// The prompt parts that were sent to an engine, least recently used ones forgotten first.
#[derive(Debug)]
pub struct CacheView {
    capacity_tokens: u64,
    cached_tokens: u64,
    parts: HashMap<PartId, Held>,
}

impl CacheView {
    /// Starts empty; remembers at most `capacity_tokens`.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            cached_tokens: 0,
            parts: HashMap::new(),
        }
    }

    /// Changes how much is remembered.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
    }

    /// Notes that the engine uses a part. Returns whether that is news: the part was unknown, or
    /// had not been used for a while.
    pub fn touch(&mut self, part: Part, now: Duration) -> bool {
        let mut is_new = false;
        let held = self.parts.entry(part.id).or_insert_with(|| {
            is_new = true;
            Held {
                tokens: part.tokens,
                used_at: now,
            }
        });
        let is_refreshed = now.saturating_sub(held.used_at) > REFRESH;
        held.used_at = held.used_at.max(now);
        if is_new {
            self.cached_tokens += part.tokens;
            self.evict();
        }
        is_new || is_refreshed
    }

    /// Tells whether the engine probably holds a part.
    #[must_use]
    pub fn holds(&self, id: PartId) -> bool {
        self.parts.contains_key(&id)
    }

    /// Returns when the engine last used a part.
    #[must_use]
    pub fn used_at(&self, id: PartId) -> Option<Duration> {
        self.parts.get(&id).map(|held| held.used_at)
    }

    /// Returns how many tokens of a prompt's beginning are held; a part counts only where all
    /// parts before it are held too.
    #[must_use]
    pub fn cached_prefix_tokens(&self, prompt: &Prompt) -> u64 {
        prompt
            .parts
            .iter()
            .take_while(|part| self.holds(part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Forgets everything, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.cached_tokens = 0;
    }

    fn evict(&mut self) {
        if self.cached_tokens <= self.capacity_tokens {
            return;
        }
        let goal_tokens = self.capacity_tokens - self.capacity_tokens / SLACK_DIVISOR;
        let mut by_age: Vec<(Duration, PartId)> = self
            .parts
            .iter()
            .map(|(id, held)| (held.used_at, *id))
            .collect();
        by_age.sort_unstable();
        for (_, id) in by_age {
            if self.cached_tokens <= goal_tokens {
                break;
            }
            if let Some(held) = self.parts.remove(&id) {
                self.cached_tokens -= held.tokens;
            }
        }
    }
}
