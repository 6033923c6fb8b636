//! Which table changes a router publishes, and for how long.

use {
    baobab_relay::Outbox,
    baobab_watch::{Change, Row, TableDelta},
    std::time::Duration,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn delta(since: u64, revision: u64, bytes: usize) -> TableDelta {
    let row = Row {
        key: format!("i-{revision}"),
        content: vec![0; bytes],
    };
    TableDelta {
        era: 0,
        since,
        revision,
        changes: vec![Change::Written(row)],
    }
}

#[test]
fn changes_are_published_repeatedly_until_their_period_ends() {
    let mut outbox = Outbox::default();
    assert_eq!(outbox.take(ms(0)), None, "nothing read yet");
    outbox.put(delta(3, 5, 100), ms(0));
    outbox.put(delta(5, 9, 100), ms(800));
    for (now, since, changes) in [(900, 3, 2), (1200, 3, 2), (1300, 5, 1), (2100, 9, 0)] {
        let delta = outbox.take(ms(now)).unwrap();
        assert_eq!((delta.since, delta.revision), (since, 9), "at {now}");
        assert_eq!(delta.changes.len(), changes, "at {now}");
    }
}

/// Guards against routers that miss what changed before a listing and believe to be up to date: a store
/// that forgets its history, and a router that read the store before and does so again.
#[test]
fn changes_before_a_gap_are_not_joined_with_later_ones() {
    for (since, revision, changes) in [(12, 12, 0), (8, 9, 1), (4, 9, 1)] {
        let mut outbox = Outbox::default();
        outbox.put(delta(3, 5, 100), ms(0));
        let mut later = delta(since, revision, 100);
        later.changes.truncate(changes);
        outbox.put(later, ms(100));
        let delta = outbox.take(ms(200)).unwrap();
        assert_eq!((delta.since, delta.revision), (since, revision));
        assert_eq!(delta.changes.len(), changes, "since {since}");
    }
}

#[test]
fn changes_too_large_for_a_datagram_are_left_out() {
    let mut outbox = Outbox::default();
    outbox.put(delta(3, 5, 600), ms(0));
    outbox.put(delta(5, 9, 600), ms(100));
    let delta = outbox.take(ms(200)).unwrap();
    assert_eq!((delta.since, delta.revision), (9, 9));
    assert_eq!(delta.changes, []);
}

#[test]
fn nothing_is_published_while_the_store_is_unreachable() {
    let mut outbox = Outbox::default();
    outbox.put(delta(3, 5, 10), ms(0));
    outbox.clear();
    assert_eq!(outbox.take(ms(1)), None);
}
