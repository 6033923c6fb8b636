//! An overloaded router reports the overload, then refuses streams.

use {baobab_relay::Overload, std::time::Duration};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn one_late_timer_is_no_overload() {
    let mut overload = Overload::default();
    assert!(!overload.on_delay(ms(250), ms(0)));
    assert!(!overload.is_overloaded());
}

#[test]
fn repeated_late_timers_are_an_overload_and_streams_are_refused() {
    let mut overload = Overload::default();
    let mut overloaded_at = None;
    for step in 0..20 {
        overload.on_delay(ms(200), ms(step * 100));
        if overload.is_overloaded() {
            overloaded_at.get_or_insert(step);
        }
    }
    assert!(
        overloaded_at.is_some_and(|step| step <= 3),
        "{overloaded_at:?}"
    );
    assert!(overload.refuses_streams(false));
    assert!(!overload.refuses_streams(true));
}

#[test]
fn an_overload_lasts_at_least_three_seconds() {
    let mut overload = Overload::default();
    for step in 0..20 {
        overload.on_delay(ms(200), ms(step * 10));
    }
    let recovered_at = (0..1_000_u64)
        .map(|step| 200 + step * 10)
        .find(|now| overload.on_delay(ms(0), ms(*now)))
        .unwrap();
    assert!((3_000..3_200).contains(&recovered_at), "{recovered_at}");
    assert!(!overload.refuses_streams(false));
}
