//! Suspended holders, lost writes and replies, and engines that do not check fencing numbers.

use {
    baobab_orders::{EngineTarget, Lease, LeaseEvent, LeaseStep, Plan},
    baobab_store::{Faults, MemoryStore, Table},
    std::time::Duration,
};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Executes the table calls that are due.
fn run_due_steps(lease: &mut Lease, platform: &MemoryStore, now: Duration) {
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
fn one_host_holds_the_lease_and_renews_it() {
    let platform = MemoryStore::default();
    let mut one = Lease::start("one".into());
    let mut other = Lease::start("other".into());
    for second in 0..60 {
        run_due_steps(&mut one, &platform, seconds(second));
        run_due_steps(&mut other, &platform, seconds(second));
        assert_eq!(one.fencing(seconds(second)), Some(1));
        assert_eq!(other.fencing(seconds(second)), None);
    }
}

#[test]
fn the_lease_of_a_suspended_holder_expires_before_another_host_takes_over() {
    let platform = MemoryStore::default();
    let mut suspended = Lease::start("suspended".into());
    let mut other = Lease::start("other".into());
    run_due_steps(&mut suspended, &platform, seconds(0));
    let mut takeover_at = None;
    for second in 0..60 {
        run_due_steps(&mut other, &platform, seconds(second));
        if other.fencing(seconds(second)).is_some() {
            takeover_at.get_or_insert(second);
            // After it resumes, its own clock shows the expiry before it reads the table.
            assert_eq!(suspended.fencing(seconds(second)), None);
        }
    }
    assert!(takeover_at.is_some(), "no host takes over");
    assert_eq!(other.fencing(seconds(59)), Some(2));
    run_due_steps(&mut suspended, &platform, seconds(60));
    assert_eq!(suspended.fencing(seconds(60)), None);
}

#[test]
fn lost_writes_and_replies_never_yield_two_holders() {
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
        for fault_at in 0..20 {
            let platform = MemoryStore::default();
            let mut hosts = [Lease::start("a".into()), Lease::start("b".into())];
            for second in 0..90 {
                if second == fault_at {
                    platform.set_faults(fault.clone());
                }
                if second == fault_at + 20 {
                    platform.set_faults(Faults::default());
                }
                for host in &mut hosts {
                    run_due_steps(host, &platform, seconds(second));
                }
                let holders = hosts
                    .iter()
                    .filter(|host| host.fencing(seconds(second)).is_some())
                    .count();
                assert!(
                    holders <= 1,
                    "case {case}, fault at {fault_at}, second {second}"
                );
            }
            let holds = hosts.iter().any(|host| host.fencing(seconds(89)).is_some());
            assert!(
                holds,
                "case {case}, fault at {fault_at}: no host holds the lease again"
            );
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
fn an_order_is_resent_only_after_its_timeout_and_until_it_takes_effect() {
    let mut plan = Plan::default();
    assert!(plan.due_order(seconds(0), 1, &target(true), "v1").is_some());
    assert!(plan.due_order(seconds(5), 1, &target(true), "v1").is_none());
    assert!(
        plan.due_order(seconds(10), 1, &target(true), "v1")
            .is_some(),
        "an order without effect is not sent again after its timeout"
    );
    assert!(
        plan.due_order(seconds(11), 1, &target(true), "v2")
            .is_none(),
        "an order is sent to an engine that serves its target version"
    );
}

#[test]
fn a_new_holder_delays_orders_to_engines_without_fencing_checks() {
    let mut plan = Plan::default();
    assert!(
        plan.due_order(seconds(100), 2, &target(false), "v1")
            .is_none()
    );
    assert!(
        plan.due_order(seconds(110), 2, &target(false), "v1")
            .is_some()
    );
    let mut plan = Plan::default();
    assert!(
        plan.due_order(seconds(100), 2, &target(true), "v1")
            .is_some()
    );
}
