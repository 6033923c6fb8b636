//! Connections that wait to be read.

use {baobab_overload::Unread, std::time::Duration};

const MAX_WAIT: Duration = Duration::from_millis(100);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Accepts a connection every millisecond, for which its number stands.
fn waiting(count: u64) -> Unread<u64> {
    let mut unread = Unread::default();
    for number in 0..count {
        unread.push(number, millis(number));
    }
    unread
}

#[test]
fn a_connection_is_turned_away_once_its_caller_could_not_be_served_on_time() {
    let mut unread = waiting(300);
    assert_eq!(unread.take_expired(MAX_WAIT), [] as [u64; 0]);
    let expired = unread.take_expired(millis(250));
    assert_eq!(expired, (0..150).collect::<Vec<u64>>());
    assert_eq!(unread.wait(millis(250)), MAX_WAIT);
    assert_eq!(unread.take_turn()[0], 150, "the others are kept in order");
}

#[test]
fn a_burst_of_connections_leaves_turns_to_the_requests_under_way() {
    let mut unread = waiting(300);
    let mut started = Vec::new();
    let mut turns = 0;
    while !unread.is_empty() {
        let turn = unread.take_turn();
        assert!(turn.len() <= 32);
        started.extend(turn);
        turns += 1;
    }
    assert!(turns >= 10);
    assert_eq!(started, (0..300).collect::<Vec<u64>>());
}

#[test]
fn what_is_turned_away_is_estimated_by_what_is_started() {
    let mut unread = waiting(1);
    unread.take_all();
    assert!((unread.connections_per_started() - 1.0).abs() < 1e-9);
    let mut unread = waiting(400);
    assert_eq!(unread.take_expired(millis(400)).len(), 300);
    unread.take_all();
    assert!((unread.connections_per_started() - 4.0).abs() < 1e-9);
    for _ in 0..20 {
        unread.decay();
    }
    for number in 0..100 {
        unread.push(number, millis(2_000));
    }
    unread.take_all();
    assert!(unread.connections_per_started() < 1.1);
    let mut unread = waiting(1000);
    assert_eq!(unread.take_expired(millis(1_050)).len(), 950);
    unread.take_turn();
    assert!((unread.connections_per_started() - 10.0).abs() < 1e-9);
}
