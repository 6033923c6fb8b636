//! Followers that receive a table's changes from other routers and fall back to the store.

use {
    baobab_watch::{
        Change, Changes, DeltaFuture, Follower, Listener, Listing, PollTiming, Revision, Row,
        Signals, Source, SourceError, SourceFuture, TableDelta, TableGossip,
    },
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        future::pending,
        rc::Rc,
        time::Duration,
    },
    tokio::time::timeout,
};

const TIMING: PollTiming = PollTiming {
    max_wait: Duration::from_secs(20),
    batch_delay: Duration::from_millis(100),
    response_timeout: Duration::from_millis(700),
    initial_backoff: Duration::from_millis(250),
    retry_interval: Duration::from_millis(1200),
};

fn written(key: &str) -> Change {
    Change::Written(Row {
        key: key.to_owned(),
        content: Vec::new(),
    })
}

fn delta(since: Revision, revision: Revision, keys: &[&str]) -> TableDelta {
    TableDelta {
        era: 0,
        since,
        revision,
        changes: keys.iter().map(|key| written(key)).collect(),
    }
}

/// Calls, changes and publications that a test observes.
#[derive(Debug, Clone, Default)]
struct Observed {
    calls: Rc<Cell<u32>>,
    keys: Rc<RefCell<Vec<String>>>,
    published: Rc<RefCell<Vec<TableDelta>>>,
}

/// A store that lists its table at revision 4 and then has one change, `d`, at revision 10. With
/// `is_compacted`, it no longer has that change and lists the table at revision 10 from then on.
struct StoreStandIn {
    observed: Observed,
    is_compacted: bool,
}

impl Source for StoreStandIn {
    fn list<'a>(&'a mut self, _table: &'a str, _timeout: Duration) -> SourceFuture<'a, Listing> {
        self.observed.calls.set(self.observed.calls.get() + 1);
        let is_first = self.observed.calls.get() == 1;
        Box::pin(async move {
            Ok(Listing {
                era: 0,
                revision: if is_first { 4 } else { 10 },
                store_time: Duration::ZERO,
                rows: Vec::new(),
            })
        })
    }

    fn changes<'a>(
        &'a mut self,
        _table: &'a str,
        since: Revision,
        wait: Duration,
        _timeout: Duration,
    ) -> SourceFuture<'a, Changes> {
        self.observed.calls.set(self.observed.calls.get() + 1);
        let is_compacted = self.is_compacted;
        Box::pin(async move {
            if is_compacted && since < 10 {
                return Err(SourceError::HistoryGone);
            }
            if since >= 10 {
                tokio::time::sleep(wait).await;
            }
            Ok(Changes {
                era: 0,
                revision: 10,
                store_time: Duration::ZERO,
                changes: if since < 10 {
                    vec![written("d")]
                } else {
                    Vec::new()
                },
            })
        })
    }

    fn reset(&mut self) {}
}

impl Listener for Observed {
    fn on_restored(&mut self) {}
    fn on_listing(&mut self, _rows: Vec<Row>) {}

    fn on_change(&mut self, change: Change) {
        if let Change::Written(row) = change {
            self.keys.borrow_mut().push(row.key);
        }
    }

    fn on_current(&mut self, _as_of: Duration, _store_time: Duration) {}
    fn on_unreachable(&mut self, _error: &SourceError) {}
    fn on_reachable(&mut self) {}
}

struct GossipStandIn {
    reads_store: bool,
    deltas: VecDeque<TableDelta>,
    observed: Observed,
}

impl TableGossip for GossipStandIn {
    fn reads_store(&self) -> bool {
        self.reads_store
    }

    fn publish(&self, delta: TableDelta) {
        self.observed.published.borrow_mut().push(delta);
    }

    fn stop_publishing(&self) {}

    fn next_delta(&mut self) -> DeltaFuture<'_> {
        Box::pin(async {
            match self.deltas.pop_front() {
                Some(delta) => delta,
                None => pending().await,
            }
        })
    }

    fn discard_pending(&mut self) -> bool {
        !self.deltas.is_empty()
    }
}

/// Runs a follower for `seconds`; its first call lists the table at revision 4.
async fn follow(reads_store: bool, deltas: &[TableDelta], seconds: u64) -> Observed {
    follow_store(false, reads_store, deltas, seconds).await
}

/// Like [`follow`], with a store that may have dropped its history.
async fn follow_store(
    is_compacted: bool,
    reads_store: bool,
    deltas: &[TableDelta],
    seconds: u64,
) -> Observed {
    let observed = Observed::default();
    let gossip = GossipStandIn {
        reads_store,
        deltas: deltas.iter().cloned().collect(),
        observed: observed.clone(),
    };
    let follower = Follower::new(
        "servers",
        StoreStandIn {
            observed: observed.clone(),
            is_compacted,
        },
        observed.clone(),
        ChaCha8Rng::seed_from_u64(1),
        TIMING,
        Signals::default(),
    )
    .with_gossip(Box::new(gossip));
    let _ = timeout(Duration::from_secs(seconds), follower.run()).await;
    observed
}

#[tokio::test(start_paused = true)]
async fn deltas_from_other_routers_are_applied_without_a_call() {
    let deltas = [
        delta(4, 6, &["a"]),
        delta(2, 5, &["old"]),
        delta(4, 8, &["a", "b"]),
        delta(8, 10, &["c"]),
    ];
    let observed = follow(false, &deltas, 1).await;
    assert_eq!(*observed.keys.borrow(), ["a", "a", "b", "c"]);
    assert_eq!(observed.calls.get(), 1, "the list");
}

#[tokio::test(start_paused = true)]
async fn a_gap_between_deltas_is_read_from_the_store() {
    let observed = follow(false, &[delta(4, 6, &["a"]), delta(8, 10, &["d"])], 1).await;
    assert_eq!(*observed.keys.borrow(), ["a", "d"]);
    assert_eq!(
        observed.calls.get(),
        2,
        "the list and the gap; further changes come from the other routers"
    );
}

#[tokio::test(start_paused = true)]
async fn after_a_gap_in_a_dropped_history_the_table_is_listed_once() {
    let deltas = [delta(4, 6, &["a"]), delta(8, 10, &["d"])];
    let observed = follow_store(true, false, &deltas, 1).await;
    assert_eq!(
        observed.calls.get(),
        3,
        "the list, the gap and another list"
    );
}

#[tokio::test(start_paused = true)]
async fn the_store_is_polled_when_no_deltas_arrive() {
    let deltas = [delta(4, 6, &["a"])];
    let early = follow(false, &deltas, 1).await;
    assert_eq!(*early.keys.borrow(), ["a"]);
    let late = follow(false, &deltas, 2).await;
    assert_eq!(*late.keys.borrow(), ["a", "d"], "within two seconds");
}

#[tokio::test(start_paused = true)]
async fn a_router_that_reads_the_store_publishes_and_ignores_deltas() {
    let observed = follow(true, &[delta(4, 6, &["a"])], 1).await;
    assert_eq!(*observed.keys.borrow(), ["d"]);
    assert_eq!(
        *observed.published.borrow(),
        [delta(4, 4, &[]), delta(4, 10, &["d"])]
    );
}
