//! Dates of confirmations that other routers pass on, and who asks for new ones.

use {
    baobab_watch::{Freshness, StoreClock},
    std::time::Duration,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_moment_of_the_store_is_never_dated_late() {
    let clock = StoreClock::default();
    assert_eq!(clock.earliest(ms(5)), None);
    // The store's clock is 1,000 ms behind; answers were on their way for 40, 3 and 900 ms.
    for (asked_at, store_time) in [(2_000, 1_040), (3_000, 2_003), (4_000, 3_900)] {
        clock.observe(ms(asked_at), ms(store_time));
    }
    let earliest = clock.earliest(ms(10_000)).unwrap();
    assert!(earliest <= ms(11_000));
    assert_eq!(earliest, ms(10_997));
}

#[test]
fn a_store_that_runs_ahead_of_the_host_is_dated_too() {
    let clock = StoreClock::default();
    clock.observe(ms(100), ms(90_000));
    assert_eq!(clock.earliest(ms(90_500)), Some(ms(600)));
    assert_eq!(clock.earliest(ms(80_000)), None, "before the host's start");
}

#[test]
fn routers_ask_one_after_the_other() {
    let freshness = Freshness::default();
    freshness.on_confirmed(3, ms(10_000));
    let due = |rank, now| freshness.is_due(rank, 3, ms(now));
    for (rank, now, expected) in [
        (0, 10_900, false),
        (0, 11_000, true),
        (1, 11_000, false),
        (1, 11_250, true),
        (5, 12_000, false),
        (90, 12_400, false),
        (90, 12_500, true),
    ] {
        assert_eq!(due(rank, now), expected, "rank {rank} at {now}");
    }
}

#[test]
fn a_newer_version_elsewhere_is_asked_for_where_the_feed_does_not_tell_it() {
    let freshness = Freshness::default();
    freshness.on_confirmed(3, ms(10_000));
    freshness.on_peer_version(4);
    assert!(
        !freshness.is_due(9, 3, ms(10_001)),
        "the feed tells it soon"
    );
    assert!(!freshness.is_due(9, 4, ms(10_400)), "the feed has told it");
    freshness.on_peer_version(5);
    freshness.on_confirmed(4, ms(10_500));
    assert!(!freshness.is_due(9, 4, ms(10_500)));
    assert!(
        freshness.is_due(9, 4, ms(11_300)),
        "nothing came for 800 ms"
    );
}

#[test]
fn nobody_is_asked_beside_a_follower_that_seeks_the_store() {
    let freshness = Freshness::default();
    freshness.set_lost(true);
    assert!(!freshness.is_due(0, 3, ms(99_000)));
}
