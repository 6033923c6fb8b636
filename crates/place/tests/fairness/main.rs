//! Workspaces that reach few or all routers of a large fleet, under twice the load that its engines
//! serve.

mod few_routers;
mod jumps;
mod support;

use {
    std::time::Duration,
    support::{Conditions, Demand, Scenario, play},
};

const ROUTERS: usize = 90;

fn demand(mega_tokens_per_s: f64, routers: (usize, usize), from_s: u64) -> Demand {
    Demand {
        tokens_per_s: mega_tokens_per_s * 1e6,
        routers,
        from: Duration::from_secs(from_s),
        jumps: false,
    }
}

/// A flood through a few routers and one through all of them, beside smaller demands.
fn scenario(flooded_routers: usize) -> Scenario {
    let mut demands = vec![
        demand(3.0, (0, flooded_routers), 2),
        demand(1.5, (0, ROUTERS), 2),
        demand(1.2, (flooded_routers, flooded_routers), 0),
        demand(0.6, (0, ROUTERS), 0),
    ];
    demands.extend([0.25, 0.2, 0.15, 0.1, 0.08, 0.06].map(|rate| demand(rate, (0, ROUTERS), 0)));
    Scenario {
        routers: ROUTERS,
        engines: 60,
        capacity: 1.6e6,
        demands,
        length: Duration::from_secs(14),
        conditions: Conditions::default(),
    }
}

fn assert_fair(flooded_routers: usize) {
    for seed in 1..=3 {
        let unfair = play(&scenario(flooded_routers), seed).unfair();
        assert!(unfair.is_empty(), "seed {seed}: {unfair:#?}");
    }
}

#[test]
fn a_flood_through_overloaded_routers_leaves_the_others_theirs() {
    assert_fair(10);
}

#[test]
fn a_flood_through_three_routers_gets_as_much_as_one_through_all() {
    assert_fair(3);
}

#[test]
fn engines_are_kept_busy_by_this_load() {
    for flooded_routers in [3, 10] {
        let throughput = play(&scenario(flooded_routers), 1).throughput(5);
        assert!(throughput >= 3.0e6, "{throughput}");
    }
}
