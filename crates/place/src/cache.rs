//! Estimate of the prompt parts that an engine has cached.

use {
    crate::{Part, PartId, Prompt},
    foldhash::HashMap,
    std::time::Duration,
};

/// Eviction frees this fraction of the capacity (1/8) at once, so that it runs rarely.
const SLACK_DIVISOR: u64 = 8;

/// Time after which another use of a part is reported again, so that all routers evict in the same
/// order.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct CachedPart {
    tokens: u64,
    used_at: Duration,
}

/// LRU model of an engine's prompt cache, from the parts that were sent to it.
#[derive(Debug)]
pub struct CacheView {
    capacity_tokens: u64,
    cached_tokens: u64,
    parts: HashMap<PartId, CachedPart>,
}

impl CacheView {
    /// Creates an empty view that tracks at most `capacity_tokens`.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            cached_tokens: 0,
            parts: HashMap::default(),
        }
    }

    /// Sets the capacity; takes effect when the next new part is added.
    pub fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
    }

    /// Records a use of a part. Returns whether to report it to the other routers: the part is new,
    /// or its last use is more than 2 s ago.
    pub fn touch(&mut self, part: Part, now: Duration) -> bool {
        let mut is_new = false;
        let cached = self.parts.entry(part.id).or_insert_with(|| {
            is_new = true;
            CachedPart {
                tokens: part.tokens,
                used_at: now,
            }
        });
        let is_refreshed = now.saturating_sub(cached.used_at) > REFRESH_INTERVAL;
        cached.used_at = cached.used_at.max(now);
        if is_new {
            self.cached_tokens += part.tokens;
            self.evict();
        }
        is_new || is_refreshed
    }

    /// Returns whether the engine probably has a part cached.
    #[must_use]
    pub fn contains(&self, id: PartId) -> bool {
        self.parts.contains_key(&id)
    }

    /// Returns the time of a part's last use.
    #[must_use]
    pub fn used_at(&self, id: PartId) -> Option<Duration> {
        self.parts.get(&id).map(|cached| cached.used_at)
    }

    /// Returns the number of cached tokens in a prompt's longest cached prefix; parts after the
    /// first uncached one do not count.
    #[must_use]
    pub fn cached_prefix_tokens(&self, prompt: &Prompt) -> u64 {
        prompt
            .parts
            .iter()
            .take_while(|part| self.contains(part.id))
            .map(|part| part.tokens)
            .sum()
    }

    /// Removes the parts whose last use is longer ago than `lifetime`.
    pub fn expire(&mut self, lifetime: Duration, now: Duration) {
        let cached_tokens = &mut self.cached_tokens;
        self.parts.retain(|_, cached| {
            let is_kept = now.saturating_sub(cached.used_at) <= lifetime;
            if !is_kept {
                *cached_tokens -= cached.tokens;
            }
            is_kept
        });
    }

    /// Removes all parts, as after a restart of the engine.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.cached_tokens = 0;
    }

    fn evict(&mut self) {
        if self.cached_tokens <= self.capacity_tokens {
            return;
        }
        let target_tokens = self.capacity_tokens - self.capacity_tokens / SLACK_DIVISOR;
        let mut by_last_use: Vec<(Duration, PartId)> = self
            .parts
            .iter()
            .map(|(id, cached)| (cached.used_at, *id))
            .collect();
        by_last_use.sort_unstable();
        for (_, id) in by_last_use {
            if self.cached_tokens <= target_tokens {
                break;
            }
            if let Some(cached) = self.parts.remove(&id) {
                self.cached_tokens -= cached.tokens;
            }
        }
    }
}
