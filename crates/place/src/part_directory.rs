//! Directory of the engines that have prompt parts cached, for the parts that this router owns.
//!
//! In a large fleet no router knows the parts of every engine. Each part has an owner among the
//! routers, which is told where the part was used and is asked before a request with it is placed.

use {
    crate::{PartId, ServerKey},
    std::{collections::HashMap, time::Duration},
};

/// Time after its last use for which an engine is assumed to have a part cached.
pub const CACHE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of engines kept per part: those that used it last.
const MAX_HOLDERS: usize = 6;

/// An engine that has a part cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartHolder {
    /// The engine.
    pub server: ServerKey,
    /// Time of the part's last use there.
    pub used_at: Duration,
}

/// Holders by part.
#[derive(Debug, Default)]
pub struct PartDirectory(HashMap<PartId, Vec<PartHolder>>);

impl PartDirectory {
    /// Records a use of a part by an engine.
    pub fn on_use(&mut self, part: PartId, server: ServerKey, now: Duration) {
        let holders = self.0.entry(part).or_default();
        holders.retain(|holder| holder.server != server);
        holders.insert(
            0,
            PartHolder {
                server,
                used_at: now,
            },
        );
        holders.truncate(MAX_HOLDERS);
    }

    /// Returns the engines that have a part cached, the last user first.
    #[must_use]
    pub fn holders(&self, part: PartId, now: Duration) -> Vec<PartHolder> {
        let is_cached = |holder: &&PartHolder| now.saturating_sub(holder.used_at) <= CACHE_LIFETIME;
        self.0
            .get(&part)
            .into_iter()
            .flatten()
            .filter(is_cached)
            .copied()
            .collect()
    }

    /// Forgets uses that are too long ago.
    pub fn expire(&mut self, now: Duration) {
        self.0.retain(|_, holders| {
            holders.retain(|holder| now.saturating_sub(holder.used_at) <= CACHE_LIFETIME);
            !holders.is_empty()
        });
    }
}
