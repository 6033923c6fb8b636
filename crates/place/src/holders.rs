//! Which engines probably have a prompt part cached.

use {
    crate::{PartId, ServerKey},
    foldhash::HashMap,
    std::time::Duration,
};

/// Interval at which engines that have evicted a part are removed.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Index of the engines' cache views by prompt part. May list engines that have evicted the part since.
#[derive(Debug, Default)]
pub(crate) struct Holders {
    /// Engines by part, the one that was reported last at the end.
    servers: HashMap<PartId, Vec<ServerKey>>,
    pruned_at: Duration,
}

impl Holders {
    /// Records that an engine has used a part.
    pub(crate) fn on_use(&mut self, part: PartId, server: ServerKey) {
        let servers = self.servers.entry(part).or_default();
        if let Some(index) = servers.iter().position(|other| *other == server) {
            servers.remove(index);
        }
        servers.push(server);
    }

    /// Returns the engines that may have a part cached, the one that was reported last first.
    pub(crate) fn of(&self, part: PartId) -> impl Iterator<Item = ServerKey> {
        let servers = self.servers.get(&part).map_or(&[][..], Vec::as_slice);
        servers.iter().rev().copied()
    }

    /// Removes engines that do not have a part cached any more, now and then.
    pub(crate) fn prune(&mut self, now: Duration, is_cached: impl Fn(PartId, ServerKey) -> bool) {
        if now.saturating_sub(self.pruned_at) < PRUNE_INTERVAL {
            return;
        }
        self.pruned_at = now;
        self.servers.retain(|part, servers| {
            servers.retain(|server| is_cached(*part, *server));
            !servers.is_empty()
        });
    }
}
