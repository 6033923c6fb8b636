//! Exchange of a table's changes between a follower and other routers.

use {
    crate::{Change, Follower, Listener, Revision, Source, TableDelta, follower::Feed},
    rand::Rng,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Time without gossip after which the store is polled; routers publish several times within it.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(1200);
/// Maximum random delay before the store is polled for changes missing from the gossip, so that not
/// all routers poll at once.
const MAX_GAP_DELAY: Duration = Duration::from_millis(300);

impl<S: Source, L: Listener, R: Rng> Follower<S, L, R> {
    pub(crate) fn reads_store(&self) -> bool {
        self.gossip
            .as_ref()
            .is_none_or(|gossip| gossip.reads_store())
    }

    /// Waits for the next delta from another router and applies it; after the timeout the next step
    /// polls the store.
    pub(crate) async fn apply_next_delta(&mut self) {
        let Some(gossip) = &mut self.gossip else {
            return;
        };
        if let Ok(delta) = timeout(GOSSIP_TIMEOUT, gossip.next_delta()).await {
            self.on_delta(delta).await;
            return;
        }
        log::info!(table = self.table.as_str(); "no changes from other routers; polling the store");
        self.feed = Feed::Store;
    }

    /// Applies a delta from another router if it continues the known revision; after a gap the next
    /// step polls the store.
    async fn on_delta(&mut self, delta: TableDelta) {
        let known_era = self.era.unwrap_or(0);
        if delta.era < known_era {
            return;
        }
        if delta.era > known_era {
            log::info!(table = self.table.as_str(), era = delta.era; "another router has read a later era of the store");
            self.revision = None;
            return self.wait_to_read_store().await;
        }
        let known = self.revision.unwrap_or(0);
        if delta.since > known {
            log::info!(table = self.table.as_str(), known, since = delta.since; "missing changes from other routers; polling the store");
            return self.wait_to_read_store().await;
        }
        if delta.revision <= known {
            if delta.revision == known {
                self.listener.on_gossip_current();
            }
            return;
        }
        for change in delta.changes {
            self.listener.on_change(change);
        }
        self.revision = Some(delta.revision);
        self.listener.on_gossip_current();
        self.on_success();
    }

    /// Makes the next step call the store, after a random delay.
    async fn wait_to_read_store(&mut self) {
        let delay = MAX_GAP_DELAY.mul_f64(self.random.random_range(0.0..1.0));
        sleep(delay).await;
        self.feed = Feed::StoreAfterGap;
        self.poll_immediately = true;
    }

    /// Publishes changes to the other routers, if this router reads the store for them.
    pub(crate) fn publish(&self, since: Revision, revision: Revision, changes: &[Change]) {
        let Some(gossip) = &self.gossip else {
            return;
        };
        if gossip.reads_store() {
            gossip.publish(TableDelta {
                era: self.era.unwrap_or(0),
                since,
                revision,
                changes: changes.to_vec(),
            });
        }
    }
}
