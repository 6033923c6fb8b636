//! Failures of hosts and links, driven through the real decisions with scripted deliveries.

mod support;

use {std::time::Duration, support::Fleet};

const SLOTS: usize = 3 * 4 * 8;

fn busy_fleet() -> Fleet {
    let mut fleet = Fleet::start(3, 2, 4, 8, &[(1, 2), (2, 1), (3, 1)]);
    fleet.network.least_delay = Duration::from_millis(3);
    fleet.network.most_delay = Duration::from_millis(8);
    for (host, workspace) in [(101, 1), (201, 2), (302, 3), (202, 1)] {
        fleet.router(host).add(workspace, 100_000);
    }
    fleet
}

struct Case {
    name: &'static str,
    fault: fn(&mut Fleet),
    lasts: Duration,
    /// Ends the fault.
    heal: fn(&mut Fleet),
    /// Time after the end by which all slots must be busy again.
    recovers: Duration,
}

fn cases() -> Vec<Case> {
    let none: fn(&mut Fleet) = |_| {};
    let heal: fn(&mut Fleet) = |fleet| {
        fleet.network.cut.clear();
        fleet.network.gone.clear();
        fleet.network.loss = 0.0;
        fleet.network.repetition = 0.0;
        fleet.network.most_delay = Duration::from_millis(8);
        fleet.wake();
    };
    vec![
        Case {
            name: "a dispatcher dies and another host takes its place",
            fault: |fleet| {
                fleet.network.gone.insert(1000);
                fleet.seats.get_mut(&1).expect("there is one").is_paused = true;
            },
            lasts: Duration::from_secs(1),
            heal: |fleet| {
                fleet.seat(1, 1001, 1);
                fleet.point_routers();
            },
            recovers: Duration::from_secs(1),
        },
        Case {
            name: "a dispatcher is paused for 20 s and wakes",
            fault: |fleet| fleet.seats.get_mut(&2).expect("there is one").is_paused = true,
            lasts: Duration::from_secs(20),
            heal,
            recovers: Duration::from_secs(2),
        },
        Case {
            name: "a router is paused for 20 s and wakes with old grants waiting",
            fault: |fleet| fleet.router(101).is_paused = true,
            lasts: Duration::from_secs(20),
            heal,
            recovers: Duration::from_secs(3),
        },
        Case {
            name: "a domain is cut off for a minute",
            fault: |fleet| fleet.network.cut_off(3, [1, 2]),
            lasts: Duration::from_mins(1),
            heal,
            recovers: Duration::from_secs(3),
        },
        Case {
            name: "a domain hears and is not heard for a minute",
            fault: |fleet| {
                fleet.network.cut.insert((3, 1));
                fleet.network.cut.insert((3, 2));
            },
            lasts: Duration::from_mins(1),
            heal,
            recovers: Duration::from_secs(3),
        },
        Case {
            name: "a fifth of the messages is lost, a fifth repeated, all out of order",
            fault: |fleet| {
                fleet.network.loss = 0.2;
                fleet.network.repetition = 0.2;
                fleet.network.most_delay = Duration::from_millis(200);
            },
            lasts: Duration::from_secs(20),
            heal,
            recovers: Duration::from_secs(3),
        },
        Case {
            name: "a router restarts empty, twice",
            fault: |fleet| {
                fleet.router(102).restart();
                fleet.router(102).add(2, 100_000);
            },
            lasts: Duration::from_millis(500),
            heal: |fleet| {
                fleet.router(102).restart();
                fleet.router(102).add(2, 100_000);
            },
            recovers: Duration::from_secs(3),
        },
        Case {
            name: "two domains are cut off at once",
            fault: |fleet| {
                fleet.network.cut_off(1, [2, 3]);
                fleet.network.cut_off(2, [3]);
            },
            lasts: Duration::from_secs(30),
            heal,
            recovers: Duration::from_secs(3),
        },
        Case {
            name: "nothing happens",
            fault: none,
            lasts: Duration::from_secs(10),
            heal: none,
            recovers: Duration::from_secs(1),
        },
    ]
}

#[test]
fn slots_are_filled_again_and_never_overfilled_for_long() {
    for case in cases() {
        let mut fleet = busy_fleet();
        fleet.run_for(Duration::from_secs(5));
        (case.fault)(&mut fleet);
        fleet.run_for(case.lasts);
        (case.heal)(&mut fleet);
        fleet.run_for(case.recovers);
        let mut busy = 0;
        for _ in 0..50 {
            fleet.run_for(Duration::from_millis(100));
            busy += fleet.streams();
            assert!(
                fleet.streams() <= SLOTS,
                "{}: {}",
                case.name,
                fleet.streams()
            );
        }
        assert!(
            busy * 100 >= SLOTS * 50 * 95,
            "{}: {busy} of {}",
            case.name,
            SLOTS * 50
        );
    }
}

#[test]
fn a_woken_router_uses_no_grant_from_before_its_pause() {
    let mut fleet = busy_fleet();
    fleet.run_for(Duration::from_secs(5));
    fleet.router(101).is_paused = true;
    fleet.run_for(Duration::from_secs(20));
    let before = fleet.router(101).started.len();
    assert!(!fleet.router(101).held.is_empty(), "no grant was under way");
    fleet.wake();
    let after = fleet.router(101).started.len();
    assert_eq!(before, after, "an old grant was used");
}

#[test]
fn two_dispatchers_for_one_pool_never_use_more_than_twice_its_slots() {
    let mut fleet = busy_fleet();
    fleet.run_for(Duration::from_secs(5));
    // Router 102 believes that another host has the role, as during a cut.
    fleet.router(102).add(1, 100_000);
    fleet.router(102).set_dispatcher(1, 1001);
    fleet.run_for(Duration::from_secs(10));
    assert!(fleet.streams_in(1) <= 2 * 32);
    fleet.point_routers();
    fleet.run_for(Duration::from_secs(6));
    assert!(fleet.streams_in(1) <= 32);
}
