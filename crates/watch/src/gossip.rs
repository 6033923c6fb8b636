//! How a follower learns a table's changes from other routers, and tells them its own.

use {
    crate::{Change, Follower, Listener, Revision, Source, TableDelta},
    rand::Rng,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Silence of the other routers after which the store is asked: they tell several times in it.
const HEARING_PATIENCE: Duration = Duration::from_millis(1200);
/// Longest wait before the store is asked for what the other routers have told only in part, so
/// that not all ask at once.
const LONGEST_GAP_WAIT: Duration = Duration::from_millis(300);

impl<S: Source, L: Listener, R: Rng> Follower<S, L, R> {
    pub(crate) fn reads_store(&self) -> bool {
        self.gossip
            .as_ref()
            .is_none_or(|gossip| gossip.reads_store())
    }

    /// Waits for the next changes that another router tells.
    pub(crate) async fn apply_next_delta(&mut self) {
        let Some(gossip) = &mut self.gossip else {
            return;
        };
        if let Ok(delta) = timeout(HEARING_PATIENCE, gossip.next_delta()).await {
            self.on_delta(delta).await;
            return;
        }
        log::info!(table = self.table.as_str(); "other routers tell nothing; asking the store");
        self.is_told = false;
    }

    /// Takes in what another router has read, where it follows on what is known.
    async fn on_delta(&mut self, delta: TableDelta) {
        let known = self.revision.unwrap_or(0);
        if delta.since > known {
            log::info!(table = self.table.as_str(), known, since = delta.since; "other routers tell changes in part; asking the store");
            let wait = LONGEST_GAP_WAIT.mul_f64(self.random.random_range(0.0..1.0));
            sleep(wait).await;
            self.is_told = false;
            self.asks_at_once = true;
            return;
        }
        if delta.revision <= known {
            return;
        }
        for change in delta.changes {
            self.listener.on_change(change);
        }
        self.revision = Some(delta.revision);
        self.on_success();
    }

    /// Tells the others what was read, where this router reads for them.
    pub(crate) fn publish(&self, since: Revision, revision: Revision, changes: &[Change]) {
        let Some(gossip) = &self.gossip else {
            return;
        };
        if gossip.reads_store() {
            gossip.publish(TableDelta {
                since,
                revision,
                changes: changes.to_vec(),
            });
        }
    }
}
