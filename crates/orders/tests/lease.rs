//! Holders that sleep, writes whose replies are lost, and engines that check nothing.

use {
    baobab_orders::{EngineTarget, Lease, LeaseEvent, LeaseStep, Plan},
    baobab_store::{Faults, MemoryStore, Table},
    std::time::Duration,
};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Makes all calls that are due.
fn run(lease: &mut Lease, platform: &MemoryStore, now: Duration) {
    let mut step = lease.step(now);
    while let Some(call) = step {
        let event = match call {
            LeaseStep::Read(key) => LeaseEvent::Read(platform.read(&key)),
            LeaseStep::Insert(insert) => LeaseEvent::Inserted(platform.insert(insert)),
            LeaseStep::Replace(replace) => LeaseEvent::Replaced(platform.replace(replace)),
        };
        step = lease.on_event(now, event);
    }
}

#[test]
fn one_host_holds_and_renews() {
    let platform = MemoryStore::default();
    let mut one = Lease::start("one".into());
    let mut other = Lease::start("other".into());
    for second in 0..60 {
        run(&mut one, &platform, seconds(second));
        run(&mut other, &platform, seconds(second));
        assert_eq!(one.fencing(seconds(second)), Some(1));
        assert_eq!(other.fencing(seconds(second)), None);
    }
}

#[test]
fn a_holder_that_sleeps_has_stopped_before_another_takes_over() {
    let platform = MemoryStore::default();
    let mut sleeper = Lease::start("sleeper".into());
    let mut other = Lease::start("other".into());
    run(&mut sleeper, &platform, seconds(0));
    let mut taken_over = None;
    for second in 0..60 {
        run(&mut other, &platform, seconds(second));
        if other.fencing(seconds(second)).is_some() {
            taken_over.get_or_insert(second);
            // It wakes and looks at its own clock before it looks at the table.
            assert_eq!(sleeper.fencing(seconds(second)), None);
        }
    }
    assert!(taken_over.is_some(), "nobody takes over");
    assert_eq!(other.fencing(seconds(59)), Some(2));
    run(&mut sleeper, &platform, seconds(60));
    assert_eq!(sleeper.fencing(seconds(60)), None);
}

#[test]
fn there_are_never_two_holders_whatever_the_platform_loses() {
    let faults = [
        Faults {
            lose_replies: 1,
            ..Faults::default()
        },
        Faults {
            lose_writes: 1,
            ..Faults::default()
        },
        Faults {
            lose_replies: 3,
            ..Faults::default()
        },
        Faults {
            down: true,
            ..Faults::default()
        },
    ];
    for (case, fault) in faults.into_iter().enumerate() {
        for at in 0..20 {
            let platform = MemoryStore::default();
            let mut hosts = [Lease::start("a".into()), Lease::start("b".into())];
            for second in 0..90 {
                if second == at {
                    platform.set_faults(fault.clone());
                }
                if second == at + 20 {
                    platform.set_faults(Faults::default());
                }
                for host in &mut hosts {
                    run(host, &platform, seconds(second));
                }
                let holders = hosts
                    .iter()
                    .filter(|host| host.fencing(seconds(second)).is_some())
                    .count();
                assert!(holders <= 1, "case {case}, fault at {at}, second {second}");
            }
            let holds = hosts.iter().any(|host| host.fencing(seconds(89)).is_some());
            assert!(holds, "case {case}, fault at {at}: nobody holds it again");
        }
    }
}

fn target(checks_fencing: bool) -> EngineTarget {
    EngineTarget {
        engine: 1,
        version: "v2".into(),
        checks_fencing,
    }
}

#[test]
fn one_order_is_under_way_at_a_time() {
    let mut plan = Plan::default();
    assert!(plan.order(seconds(0), 1, &target(true), "v1").is_some());
    assert!(plan.order(seconds(5), 1, &target(true), "v1").is_none());
    assert!(
        plan.order(seconds(10), 1, &target(true), "v1").is_some(),
        "it was lost"
    );
    assert!(
        plan.order(seconds(11), 1, &target(true), "v2").is_none(),
        "it is reached"
    );
}

#[test]
fn a_new_holder_waits_before_it_orders_engines_that_check_nothing() {
    let mut plan = Plan::default();
    assert!(plan.order(seconds(100), 2, &target(false), "v1").is_none());
    assert!(plan.order(seconds(110), 2, &target(false), "v1").is_some());
    let mut plan = Plan::default();
    assert!(plan.order(seconds(100), 2, &target(true), "v1").is_some());
}
