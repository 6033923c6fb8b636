//! Reports and grants between one dispatcher and its routers, over a connection that fails.

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
    assert_eq!(fleet.router(101).waits(1), 0);
    fleet.router(101).add(1, 20);
    fleet.run_for(Duration::from_secs(1));
    assert_eq!(fleet.streams(), 8, "grants are taken for old ones");
}

#[test]
fn a_router_that_was_cut_off_is_granted_again() {
    let mut fleet = fleet();
    fleet.router(101).add(1, 1000);
    fleet.run_for(Duration::from_secs(2));
    fleet.network.gone.insert(101);
    fleet.run_for(Duration::from_secs(20));
    assert_eq!(fleet.streams(), 0);
    fleet.network.gone.clear();
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.streams(), 8, "the router's reports are not applied");
}

#[test]
fn a_restarted_dispatcher_fills_the_slots_again() {
    let mut fleet = fleet();
    fleet.router(101).length = Duration::from_mins(10);
    fleet.router(101).add(1, 1000);
    fleet.run_for(Duration::from_secs(2));
    let mut engine = fleet.slots[&1][0];
    engine.engine = 103;
    fleet.slots.get_mut(&1).expect("there is one").push(engine);
    fleet.seat(1, 1001, 2);
    fleet.point_routers();
    fleet.run_for(Duration::from_secs(2));
    // The streams that ran before keep their slots; only the new engine's are granted.
    assert_eq!(fleet.streams(), 12);
}

#[test]
fn a_restarted_router_frees_the_slots_of_its_streams() {
    let mut fleet = fleet();
    fleet.router(101).length = Duration::from_mins(10);
    fleet.router(101).add(1, 1000);
    fleet.run_for(Duration::from_secs(2));
    fleet.router(101).restart();
    fleet.router(102).add(2, 1000);
    fleet.run_for(Duration::from_secs(2));
    assert_eq!(fleet.router(102).streams(), 8);
}

#[test]
fn a_leaving_engine_gets_nothing_and_its_streams_go_on() {
    let mut fleet = fleet();
    fleet.router(101).length = Duration::from_secs(4);
    fleet.router(101).add(1, 1000);
    fleet.run_for(Duration::from_secs(2));
    let mut slots = fleet.slots[&1].clone();
    slots[0].leaving = true;
    fleet
        .seats
        .get_mut(&1)
        .expect("there is one")
        .dispatcher
        .set_engines(&slots);
    let listed = fleet.now;
    fleet.run_for(Duration::from_secs(10));
    let late = fleet
        .router(101)
        .started
        .iter()
        .filter(|(at, _, engine)| *engine == 101 && *at > listed + Duration::from_secs(1))
        .count();
    assert_eq!(late, 0);
    assert_eq!(fleet.streams(), 4);
}

/// After a cut, a router hears of a pool's dispatcher a moment later than that hears of its requests:
/// it ignores the first grants, and has nothing else to report to that pool.
#[test]
fn a_router_that_missed_its_first_grants_is_granted_again() {
    for missed_ms in (400..1600).step_by(20) {
        let mut fleet = Fleet::start(2, 1, 2, 4, &[(1, 1)]);
        fleet.router(201).length = Duration::from_secs(1);
        fleet.router(201).add(1, 30);
        fleet.run_for(Duration::from_secs(6));
        fleet.router(201).set_dispatcher(1, 999);
        fleet.router(201).length = Duration::from_mins(10);
        fleet.router(201).add(1, 1000);
        fleet.run_for(Duration::from_millis(missed_ms));
        fleet.point_routers();
        fleet.run_for(Duration::from_secs(9));
        assert_eq!(fleet.streams_in(2), 8);
        assert_eq!(fleet.streams_in(1), 8, "idle after {missed_ms} ms");
    }
}
