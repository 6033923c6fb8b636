//! Reports and grants over a connection that fails.

mod support;

use {
    baobab_fair::EngineSlots,
    std::time::Duration,
    support::{Bench, engines, weights},
};

fn bench(routers: u32) -> Bench {
    let list: Vec<EngineSlots> = engines(2, 4);
    Bench::start(&list, &weights(&[(1, 1), (2, 1)]), routers)
}

#[test]
fn free_slots_are_filled() {
    let mut bench = bench(2);
    bench.routers[0].waiting.insert(1, 100);
    bench.run_for(Duration::from_secs(2));
    assert_eq!(bench.streams(), 8);
}

#[test]
fn a_router_that_was_idle_for_long_is_granted_again() {
    let mut bench = bench(1);
    bench.routers[0].waiting.insert(1, 20);
    bench.run_for(Duration::from_secs(60));
    assert_eq!(bench.routers[0].waiting[&1], 0);
    bench.routers[0].waiting.insert(1, 20);
    bench.run_for(Duration::from_secs(1));
    assert_eq!(bench.streams(), 8, "grants are taken for old ones");
}

#[test]
fn a_router_that_was_cut_off_is_granted_again() {
    let mut bench = bench(2);
    bench.routers[0].waiting.insert(1, 1000);
    bench.run_for(Duration::from_secs(2));
    bench.routers[0].is_connected = false;
    bench.run_for(Duration::from_secs(20));
    assert_eq!(bench.streams(), 0);
    bench.routers[0].is_connected = true;
    bench.run_for(Duration::from_secs(2));
    assert_eq!(bench.streams(), 8, "the router's reports are not applied");
}

#[test]
fn a_restarted_dispatcher_fills_the_slots_again() {
    let mut bench = bench(2);
    bench.length = Duration::from_secs(600);
    bench.routers[0].waiting.insert(1, 1000);
    bench.run_for(Duration::from_secs(2));
    bench.dispatcher = support::new_dispatcher(bench.now, 2);
    bench.dispatcher_incarnation = 2;
    bench.dispatcher.set_engines(&engines(3, 4));
    bench.dispatcher.set_workspaces(&weights(&[(1, 1), (2, 1)]));
    bench.dispatcher.set_urgent_reserve(0);
    bench.run_for(Duration::from_secs(2));
    // The streams that ran before keep their slots; only the new engine's are granted.
    assert_eq!(bench.streams(), 12);
}

#[test]
fn a_restarted_router_frees_the_slots_of_its_streams() {
    let mut bench = bench(2);
    bench.length = Duration::from_secs(600);
    bench.routers[0].waiting.insert(1, 1000);
    bench.run_for(Duration::from_secs(2));
    let mut restarted = support::FakeRouter::new(1);
    restarted.incarnation = 2;
    restarted.waiting.insert(2, 1000);
    bench.routers[0] = restarted;
    bench.run_for(Duration::from_secs(2));
    assert_eq!(bench.routers[0].streams(), 8);
}
