//! A router whose processor does not keep up sends new connections elsewhere.

use {baobab_relay::Overload, std::time::Duration};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn one_late_timer_is_no_overload() {
    let mut overload = Overload::default();
    assert!(!overload.on_delay(ms(250), ms(0)));
    assert!(!overload.is_congested());
}

#[test]
fn late_timers_turn_connections_away_and_then_streams() {
    let mut overload = Overload::default();
    let mut congested_at = None;
    for step in 0..20 {
        overload.on_delay(ms(200), ms(step * 100));
        if overload.is_congested() {
            congested_at.get_or_insert(step);
        }
    }
    assert!(
        congested_at.is_some_and(|step| step <= 3),
        "{congested_at:?}"
    );
    assert!(overload.refuses_streams(false));
    assert!(!overload.refuses_streams(true));
}

#[test]
fn a_router_returns_only_after_a_while() {
    let mut overload = Overload::default();
    for step in 0..20 {
        overload.on_delay(ms(200), ms(step * 10));
    }
    let returned = (0..1_000_u64)
        .map(|step| 200 + step * 10)
        .find(|now| overload.on_delay(ms(0), ms(*now)))
        .unwrap();
    assert!((3_000..3_200).contains(&returned), "{returned}");
    assert!(!overload.refuses_streams(false));
}
