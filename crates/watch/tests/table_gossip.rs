//! Routers that learn a table's changes from one another, and ask the store where they cannot.

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
    gather: Duration::from_millis(100),
    response_timeout: Duration::from_millis(700),
    first_backoff: Duration::from_millis(250),
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
        since,
        revision,
        changes: keys.iter().map(|key| written(key)).collect(),
    }
}

/// All that a test looks at.
#[derive(Debug, Clone, Default)]
struct Seen {
    calls: Rc<Cell<u32>>,
    keys: Rc<RefCell<Vec<String>>>,
    published: Rc<RefCell<Vec<TableDelta>>>,
}

/// A store at revision 10 whose newest change is `d`.
struct StoreStandIn(Seen);

impl Source for StoreStandIn {
    fn list<'a>(&'a mut self, _table: &'a str, _timeout: Duration) -> SourceFuture<'a, Listing> {
        self.0.calls.set(self.0.calls.get() + 1);
        Box::pin(async {
            Ok(Listing {
                revision: 4,
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
        self.0.calls.set(self.0.calls.get() + 1);
        Box::pin(async move {
            if since >= 10 {
                tokio::time::sleep(wait).await;
            }
            Ok(Changes {
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

impl Listener for Seen {
    fn on_listing(&mut self, _rows: Vec<Row>) {}

    fn on_change(&mut self, change: Change) {
        if let Change::Written(row) = change {
            self.keys.borrow_mut().push(row.key);
        }
    }

    fn on_current(&mut self, _as_of: Duration, _store_time: Duration) {}
    fn on_lost(&mut self, _error: &SourceError) {}
    fn on_regained(&mut self) {}
}

struct GossipStandIn {
    reads_store: bool,
    news: VecDeque<TableDelta>,
    seen: Seen,
}

impl TableGossip for GossipStandIn {
    fn reads_store(&self) -> bool {
        self.reads_store
    }

    fn publish(&self, delta: TableDelta) {
        self.seen.published.borrow_mut().push(delta);
    }

    fn stop_publishing(&self) {}

    fn next_delta(&mut self) -> DeltaFuture<'_> {
        Box::pin(async {
            match self.news.pop_front() {
                Some(delta) => delta,
                None => pending().await,
            }
        })
    }

    fn discard_pending(&mut self) -> bool {
        !self.news.is_empty()
    }
}

/// Follows for a second, or for as long as `seconds`; the first call lists the table at revision 4.
async fn follow(reads_store: bool, news: &[TableDelta], seconds: u64) -> Seen {
    let seen = Seen::default();
    let gossip = GossipStandIn {
        reads_store,
        news: news.iter().cloned().collect(),
        seen: seen.clone(),
    };
    let follower = Follower::new(
        "servers",
        StoreStandIn(seen.clone()),
        seen.clone(),
        ChaCha8Rng::seed_from_u64(1),
        TIMING,
        Signals::default(),
    )
    .with_gossip(Box::new(gossip));
    let _ = timeout(Duration::from_secs(seconds), follower.run()).await;
    seen
}

#[tokio::test(start_paused = true)]
async fn what_others_tell_is_taken_in_without_a_call() {
    let news = [
        delta(4, 6, &["a"]),
        delta(2, 5, &["old"]),
        delta(4, 8, &["a", "b"]),
        delta(8, 10, &["c"]),
    ];
    let seen = follow(false, &news, 1).await;
    assert_eq!(*seen.keys.borrow(), ["a", "a", "b", "c"]);
    assert_eq!(seen.calls.get(), 1, "the list");
}

#[tokio::test(start_paused = true)]
async fn a_gap_in_what_others_tell_is_asked_for() {
    let seen = follow(false, &[delta(4, 6, &["a"]), delta(8, 10, &["d"])], 1).await;
    assert_eq!(*seen.keys.borrow(), ["a", "d"]);
    assert_eq!(
        seen.calls.get(),
        2 + 1,
        "the list, the gap, and the wait for more"
    );
}

#[tokio::test(start_paused = true)]
async fn silence_of_the_others_ends_in_asking() {
    let news = [delta(4, 6, &["a"])];
    let early = follow(false, &news, 1).await;
    assert_eq!(*early.keys.borrow(), ["a"]);
    let late = follow(false, &news, 2).await;
    assert_eq!(*late.keys.borrow(), ["a", "d"], "within two seconds");
}

#[tokio::test(start_paused = true)]
async fn a_reader_tells_what_it_reads_and_hears_nothing() {
    let seen = follow(true, &[delta(4, 6, &["a"])], 1).await;
    assert_eq!(*seen.keys.borrow(), ["d"]);
    assert_eq!(
        *seen.published.borrow(),
        [delta(4, 4, &[]), delta(4, 10, &["d"])]
    );
}
