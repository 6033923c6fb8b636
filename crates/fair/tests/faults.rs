//! Dispatch under failures of hosts and links, in a simulated network.

mod support;

use {std::time::Duration, support::Fleet};

const SLOTS: usize = 3 * 4 * 8;

fn busy_fleet() -> Fleet {
    let mut fleet = Fleet::start(3, 2, 4, 8, &[(1, 2), (2, 1), (3, 1)]);
    fleet.network.min_delay = Duration::from_millis(3);
    fleet.network.max_delay = Duration::from_millis(8);
    for (host, workspace) in [(101, 1), (201, 2), (302, 3), (202, 1)] {
        fleet.router(host).add(workspace, 100_000);
    }
    fleet
}

struct Case {
    name: &'static str,
    fault: fn(&mut Fleet),
    duration: Duration,
    /// Ends the fault.
    end_fault: fn(&mut Fleet),
    /// Time after the end of the fault by which all slots must be busy again.
    recovery_time: Duration,
}

fn cases() -> Vec<Case> {
    let none: fn(&mut Fleet) = |_| {};
    let end_fault: fn(&mut Fleet) = |fleet| {
        fleet.network.partitioned.clear();
        fleet.network.isolated.clear();
        fleet.network.loss = 0.0;
        fleet.network.duplication = 0.0;
        fleet.network.max_delay = Duration::from_millis(8);
        fleet.resume_all();
    };
    vec![
        Case {
            name: "a dispatcher fails and another host replaces it",
            fault: |fleet| {
                fleet.network.isolated.insert(1000);
                fleet.nodes.get_mut(&1).expect("the pool exists").is_paused = true;
            },
            duration: Duration::from_secs(1),
            end_fault: |fleet| {
                fleet.start_dispatcher(1, 1001, 1);
                fleet.announce_dispatchers();
            },
            recovery_time: Duration::from_secs(1),
        },
        Case {
            name: "a dispatcher is paused for 20 s and resumes",
            fault: |fleet| fleet.nodes.get_mut(&2).expect("the pool exists").is_paused = true,
            duration: Duration::from_secs(20),
            end_fault,
            recovery_time: Duration::from_secs(2),
        },
        Case {
            name: "a router is paused for 20 s and resumes with old grants in its inbox",
            fault: |fleet| fleet.router(101).is_paused = true,
            duration: Duration::from_secs(20),
            end_fault,
            recovery_time: Duration::from_secs(3),
        },
        Case {
            name: "a domain is partitioned for a minute",
            fault: |fleet| fleet.network.partition(3, [1, 2]),
            duration: Duration::from_mins(1),
            end_fault,
            recovery_time: Duration::from_secs(3),
        },
        Case {
            name: "a domain's outgoing messages are lost for a minute",
            fault: |fleet| {
                fleet.network.partitioned.insert((3, 1));
                fleet.network.partitioned.insert((3, 2));
            },
            duration: Duration::from_mins(1),
            end_fault,
            recovery_time: Duration::from_secs(3),
        },
        Case {
            name: "a fifth of the messages is lost, a fifth duplicated, all out of order",
            fault: |fleet| {
                fleet.network.loss = 0.2;
                fleet.network.duplication = 0.2;
                fleet.network.max_delay = Duration::from_millis(200);
            },
            duration: Duration::from_secs(20),
            end_fault,
            recovery_time: Duration::from_secs(3),
        },
        Case {
            name: "a router restarts twice with empty state",
            fault: |fleet| {
                fleet.router(102).restart();
                fleet.router(102).add(2, 100_000);
            },
            duration: Duration::from_millis(500),
            end_fault: |fleet| {
                fleet.router(102).restart();
                fleet.router(102).add(2, 100_000);
            },
            recovery_time: Duration::from_secs(3),
        },
        Case {
            name: "two domains are partitioned at once",
            fault: |fleet| {
                fleet.network.partition(1, [2, 3]);
                fleet.network.partition(2, [3]);
            },
            duration: Duration::from_secs(30),
            end_fault,
            recovery_time: Duration::from_secs(3),
        },
        Case {
            name: "no fault",
            fault: none,
            duration: Duration::from_secs(10),
            end_fault: none,
            recovery_time: Duration::from_secs(1),
        },
    ]
}

#[test]
fn slots_are_filled_and_not_overcommitted_after_a_fault() {
    for case in cases() {
        let mut fleet = busy_fleet();
        fleet.run_for(Duration::from_secs(5));
        (case.fault)(&mut fleet);
        fleet.run_for(case.duration);
        (case.end_fault)(&mut fleet);
        fleet.run_for(case.recovery_time);
        let mut busy = 0;
        for _ in 0..50 {
            fleet.run_for(Duration::from_millis(100));
            busy += fleet.streams();
            assert!(
                fleet.streams() <= SLOTS,
                "{}: {} streams on {SLOTS} slots",
                case.name,
                fleet.streams()
            );
        }
        assert!(
            busy * 100 >= SLOTS * 50 * 95,
            "{}: {busy} of {} slots busy",
            case.name,
            SLOTS * 50
        );
    }
}

#[test]
fn a_resumed_router_uses_no_grant_from_before_its_pause() {
    let mut fleet = busy_fleet();
    fleet.run_for(Duration::from_secs(5));
    fleet.router(101).is_paused = true;
    fleet.run_for(Duration::from_secs(20));
    let before = fleet.router(101).started.len();
    assert!(
        !fleet.router(101).inbox.is_empty(),
        "no grant arrived during the pause"
    );
    fleet.resume_all();
    let after = fleet.router(101).started.len();
    assert_eq!(before, after, "an expired grant was used");
}

#[test]
fn two_dispatchers_for_one_pool_never_use_more_than_twice_its_slots() {
    let mut fleet = busy_fleet();
    fleet.run_for(Duration::from_secs(5));
    // Router 102 takes another host for the dispatcher, as during a partition.
    fleet.router(102).add(1, 100_000);
    fleet.router(102).set_dispatcher(1, 1001);
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.streams_in(1) <= 2 * 32);
    fleet.announce_dispatchers();
    fleet.run_for(Duration::from_secs(6));
    assert!(fleet.streams_in(1) <= 32);
}
