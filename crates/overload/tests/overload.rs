//! An overloaded router reports the overload, then refuses streams.

use {
    baobab_overload::{Arrival, Overload, Shedding},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

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
    assert!(overload.refuses(true, true));
    assert!(!overload.refuses(false, true));
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
    assert!(!overload.refuses(true, false));
}

#[test]
fn the_delay_of_a_router_is_not_taken_for_that_of_servers() {
    let mut overload = Overload::default();
    assert_eq!(overload.server_time(ms(120)), Some(ms(120)));
    // Timers that are 50 ms late are no overload yet.
    for step in 0..100 {
        overload.on_delay(ms(50), ms(step * 100));
    }
    let measured = overload.server_time(ms(170)).unwrap();
    assert!(
        measured.abs_diff(ms(120)) <= ms(1),
        "{measured:?} of a server that answers after 120 ms"
    );
    for step in 100..120 {
        overload.on_delay(ms(200), ms(step * 100));
    }
    assert_eq!(overload.server_time(ms(320)), None);
}

/// Work of a router of 0.09 cores, in time that passes: a stream that it serves, and one that it refuses.
const SERVE_TIME: Duration = Duration::from_millis(20);
const REFUSE_TIME: Duration = Duration::from_millis(3);
/// Requests a second in general, and in the jump.
const USUAL_RATE: u64 = 12;
const JUMP_RATE: u64 = 120;
/// Time from a refusal to the answer of another router that has time.
const OTHER_ROUTER_TIME: Duration = Duration::from_millis(160);
const OBJECTIVE: Duration = Duration::from_millis(600);

/// Plays ten seconds in which the load rises to ten times its usual for seven of them. Returns the
/// fraction of the streams whose answer begins within the objective.
fn play_jump(mut decide: impl FnMut(&Overload, f64) -> bool) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut overload = Overload::default();
    let mut work_ends_at = Duration::ZERO;
    let (mut timer_due_at, mut timer_fires_at) = (ms(100), None);
    let (mut on_time, mut total) = (0_u32, 0_u32);
    for now in (0..10_000).map(ms) {
        let rate = if (ms(2000)..ms(9000)).contains(&now) {
            JUMP_RATE
        } else {
            USUAL_RATE
        };
        // A timer fires once the work is done that was queued when it was due.
        if now >= timer_due_at && now >= *timer_fires_at.get_or_insert(work_ends_at) {
            overload.on_delay(now.saturating_sub(timer_due_at), now);
            (timer_due_at, timer_fires_at) = (now + ms(100), None);
        }
        if !random.random_bool(rate as f64 / 1000.0) {
            continue;
        }
        total += 1;
        let waits = work_ends_at.saturating_sub(now);
        let (work, answer) = if decide(&overload, random.random()) {
            (REFUSE_TIME, REFUSE_TIME + OTHER_ROUTER_TIME)
        } else {
            (SERVE_TIME, SERVE_TIME)
        };
        work_ends_at = now + waits + work;
        on_time += u32::from(waits + answer <= OBJECTIVE);
    }
    f64::from(on_time) / f64::from(total)
}

// The callers of a few workspaces reach a few small routers, whose load jumps while all others are idle.
#[test]
fn a_jump_to_ten_times_the_load_is_shed_to_other_routers_in_time() {
    let by_delay = play_jump(|overload, _| overload.refuses(true, false));
    let mut shedding = Shedding::default();
    let by_fraction = play_jump(|overload, random_fraction| {
        shedding.update(overload.shed_fraction());
        let arrival = Arrival {
            workspace: 1,
            is_late: false,
            is_owed: false,
            served_fraction: 1.0,
        };
        shedding.refuses(arrival, overload, true, random_fraction)
    });
    println!("{by_fraction} {by_delay}");
    assert!(
        by_fraction >= 0.9 && by_fraction > by_delay,
        "{by_fraction}, {by_delay} without shedding"
    );
}
