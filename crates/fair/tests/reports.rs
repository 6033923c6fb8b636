//! Exchange of reports and grants between dispatchers and routers across failures.

mod support;

use {std::time::Duration, support::Fleet};

/// One domain with two routers, 101 and 102, and two engines of four slots.
fn fleet() -> Fleet {
    Fleet::start(1, 2, 2, 4, &[(1, 1), (2, 1)])
}

#[test]
fn free_slots_are_filled() {
    let mut fleet = fleet();
    fleet.router(101).add(1, 100);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.streams(), 8);
}

#[test]
fn a_router_that_was_idle_for_long_is_granted_again() {
    let mut fleet = fleet();
    fleet.router(101).add(1, 20);
    fleet.run_for(Duration::from_mins(1));
    assert_eq!(fleet.router(101).waiting_total(1), 0);
    fleet.router(101).add(1, 20);
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(
        fleet.streams(),
        8,
        "the router got too few grants, or rejected them as duplicates"
    );
}

#[test]
fn a_router_that_was_cut_off_is_granted_again() {
    let mut fleet = fleet();
    fleet.router(101).add(1, 1000);
    fleet.run_for(Duration::from_secs(2));
    fleet.network.isolated.insert(101);
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(fleet.streams(), 0);
    fleet.network.isolated.clear();
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(
        fleet.streams(),
        8,
        "the slots are not filled after the router is back"
    );
}

#[test]
fn a_restarted_dispatcher_fills_the_slots_again() {
    let mut fleet = fleet();
    fleet.router(101).stream_length = Duration::from_mins(10);
    fleet.router(101).add(1, 1000);
    fleet.run_for(Duration::from_secs(2));
    let mut engine = fleet.slots[&1][0];
    engine.engine = 103;
    fleet
        .slots
        .get_mut(&1)
        .expect("the pool exists")
        .push(engine);
    fleet.start_dispatcher(1, 1001, 2);
    fleet.announce_dispatchers();
    fleet.run_for(Duration::from_secs(2));
    // Streams from before the restart keep their slots; only the new engine's slots are granted.
    assert_eq!(fleet.streams(), 12);
}

#[test]
fn a_restarted_router_frees_the_slots_of_its_streams() {
    let mut fleet = fleet();
    fleet.router(101).stream_length = Duration::from_mins(10);
    fleet.router(101).add(1, 1000);
    fleet.run_for(Duration::from_secs(2));
    fleet.router(101).restart();
    fleet.router(102).add(2, 1000);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.router(102).streams(), 8);
}

#[test]
fn a_leaving_engine_gets_no_new_streams_and_the_other_engine_stays_full() {
    let mut fleet = fleet();
    fleet.router(101).stream_length = Duration::from_secs(4);
    fleet.router(101).add(1, 1000);
    fleet.run_for(Duration::from_secs(2));
    let mut slots = fleet.slots[&1].clone();
    slots[0].leaving = true;
    fleet
        .nodes
        .get_mut(&1)
        .expect("the pool exists")
        .dispatcher
        .set_engines(&slots);
    let drained_at = fleet.now;
    fleet.run_for(Duration::from_secs(10));
    let started_after = fleet
        .router(101)
        .started
        .iter()
        .filter(|(at, _, engine)| *engine == 101 && *at > drained_at + Duration::from_secs(1))
        .count();
    assert_eq!(started_after, 0);
    assert_eq!(fleet.streams(), 4);
}

/// After a partition, a pool's dispatcher may learn of a router's requests before the router learns
/// of that dispatcher: the router ignores the first grants, and has nothing else to report to that
/// pool, so the grants must be sent again.
#[test]
fn a_router_that_missed_its_first_grants_is_granted_again() {
    for missed_ms in (400..1600).step_by(20) {
        let mut fleet = Fleet::start(2, 1, 2, 4, &[(1, 1)]);
        fleet.router(201).stream_length = Duration::from_secs(1);
        fleet.router(201).add(1, 30);
        fleet.run_for(Duration::from_secs(6));
        fleet.router(201).set_dispatcher(1, 999);
        fleet.router(201).stream_length = Duration::from_mins(10);
        fleet.router(201).add(1, 1000);
        fleet.run_for(Duration::from_millis(missed_ms));
        fleet.announce_dispatchers();
        fleet.run_for(Duration::from_secs(9));
        assert_eq!(fleet.streams_in(2), 8);
        assert_eq!(
            fleet.streams_in(1),
            8,
            "pool 1 is not full after {missed_ms} ms without its dispatcher"
        );
    }
}
