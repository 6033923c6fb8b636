//! Conversion of the store's time, and which router requests a confirmation when.

use {
    baobab_watch::{Freshness, StoreClock},
    std::time::Duration,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_store_time_is_never_converted_to_a_later_time() {
    let clock = StoreClock::default();
    assert_eq!(clock.earliest(ms(5)), None);
    // The store's clock is 1,000 ms behind; calls took 40, 3 and 900 ms to reach the store.
    for (sent_at, received_at, store_time) in [
        (2_000, 2_050, 1_040),
        (3_000, 3_005, 2_003),
        (4_000, 4_901, 3_900),
    ] {
        clock.observe(ms(sent_at), ms(received_at), ms(store_time));
    }
    let earliest = clock.earliest(ms(10_000)).unwrap();
    assert!(earliest <= ms(11_000));
    assert_eq!(earliest, ms(10_997));
}

#[test]
fn a_store_clock_ahead_of_the_host_is_converted() {
    let clock = StoreClock::default();
    clock.observe(ms(100), ms(101), ms(90_000));
    assert_eq!(clock.earliest(ms(90_500)), Some(ms(600)));
    assert_eq!(clock.earliest(ms(80_000)), None, "before the host's boot");
}

/// The soak with seed 770307 stepped the store's clock forward by 400 ms several times; each step
/// extended the acceptance of revoked keys by as much.
#[test]
fn after_forward_steps_of_the_stores_clock_a_delayed_response_is_not_dated_later() {
    for is_read_here in [true, false] {
        let clock = StoreClock::default();
        clock.observe(ms(1_000), ms(1_002), ms(1_001));
        // Three steps of 400 ms; the next response is received without delay, here or by a peer.
        if is_read_here {
            clock.observe(ms(3_000), ms(3_004), ms(4_202));
        } else {
            clock.limit(ms(3_004), ms(4_202));
        }
        // Read from the store's clock at 3,500, received at 6,500.
        clock.limit(ms(6_500), ms(4_700));
        let earliest = clock.earliest(ms(4_700)).unwrap();
        assert!(earliest <= ms(3_502), "{is_read_here}: {earliest:?}");
    }
}

#[test]
fn routers_with_fewer_preceding_routers_request_confirmations_first() {
    let freshness = Freshness::default();
    freshness.on_confirmed(3, ms(10_000));
    let due = |preceding_routers, now| freshness.is_due(preceding_routers, 3, ms(now));
    for (preceding_routers, now, expected) in [
        (0, 10_900, false),
        (0, 11_000, true),
        (1, 11_000, false),
        (1, 11_250, true),
        (5, 12_000, false),
        (90, 12_400, false),
        (90, 12_500, true),
    ] {
        assert_eq!(
            due(preceding_routers, now),
            expected,
            "{preceding_routers} preceding routers at {now}"
        );
    }
}

#[test]
fn nothing_is_confirmed_before_a_configuration_is_known() {
    let freshness = Freshness::default();
    assert!(!freshness.is_due(0, 0, ms(10_000)));
    assert!(freshness.is_due(0, 3, ms(10_000)));
}

#[test]
fn a_newer_version_at_a_peer_is_requested_if_the_follower_does_not_deliver_it() {
    let freshness = Freshness::default();
    freshness.on_confirmed(3, ms(10_000));
    freshness.on_peer_version(4);
    assert!(
        !freshness.is_due(9, 3, ms(10_001)),
        "the follower may still deliver it"
    );
    assert!(
        !freshness.is_due(9, 4, ms(10_400)),
        "the follower has delivered it"
    );
    freshness.on_peer_version(5);
    freshness.on_confirmed(4, ms(10_500));
    assert!(!freshness.is_due(9, 4, ms(10_500)));
    assert!(
        freshness.is_due(9, 4, ms(11_300)),
        "not delivered within 800 ms"
    );
}

#[test]
fn no_confirmation_is_due_while_the_store_is_unreachable() {
    let freshness = Freshness::default();
    freshness.set_unreachable(true);
    assert!(!freshness.is_due(0, 3, ms(99_000)));
}
