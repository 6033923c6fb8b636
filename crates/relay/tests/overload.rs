//! An overloaded router reports congestion, then refuses streams.

use {baobab_relay::Overload, std::time::Duration};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn one_late_timer_does_not_cause_congestion() {
    let mut overload = Overload::default();
    assert!(!overload.on_delay(ms(250), ms(0)));
    assert!(!overload.is_congested());
}

#[test]
fn repeated_late_timers_cause_congestion_and_refusal_of_streams() {
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
fn congestion_lasts_at_least_three_seconds() {
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
