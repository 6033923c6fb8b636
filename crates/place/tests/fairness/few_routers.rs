//! Workspaces whose callers reach only routers that a flood overloads.

use {
    crate::{
        jumps::{conditions, scenario, unfair_plays},
        support::{Conditions, Demand, Scenario},
    },
    std::time::Duration,
};

const ROUTERS: u32 = 90;

fn demand(mega_tokens_per_s: f64, routers: (usize, usize), jumps: bool) -> Demand {
    Demand {
        tokens_per_s: mega_tokens_per_s * 1e6,
        routers,
        from: Duration::ZERO,
        jumps,
    }
}

/// A workspace with a steady demand through three routers that a flood reaches, too.
fn beside_flood(flood_mega_tokens_per_s: f64, mega_tokens_per_s: f64) -> Scenario {
    let steady = Conditions {
        crash: None,
        ..conditions()
    };
    let mut scenario = scenario(ROUTERS, flood_mega_tokens_per_s, steady);
    scenario
        .demands
        .push(demand(mega_tokens_per_s, (0, 3), false));
    scenario
}

/// A workspace with a steady demand through two routers that another one overloads, while a flood reaches
/// four others and a quarter of the engines crash.
fn beside_second_flood(flood_mega_tokens_per_s: f64, second_mega_tokens_per_s: f64) -> Scenario {
    let mut scenario = scenario(ROUTERS, flood_mega_tokens_per_s, conditions());
    scenario.demands[0].routers = (0, 4);
    scenario.demands[1] = demand(second_mega_tokens_per_s, (4, 2), true);
    scenario.demands.push(demand(0.25, (4, 2), false));
    scenario
}

/// Returns the plays of eight seeds in which the last workspace gets less than half of what it is owed.
fn starved(scenario: &Scenario) -> Vec<String> {
    let last = scenario.demands.len() - 1;
    let name = format!("workspace {last} ");
    unfair_plays(scenario, 8)
        .into_iter()
        .filter(|found| found.contains(&name))
        .collect()
}

#[test]
fn a_small_workspace_is_not_starved_by_a_flood_at_its_only_routers() {
    for (flood, small) in [(2.6, 0.25), (3.5, 0.1), (3.5, 0.25)] {
        let found = starved(&beside_flood(flood, small));
        assert!(found.is_empty(), "{flood} M beside {small} M: {found:#?}");
    }
}

// The refusals alone take all time of the routers while this flood is at twice its mean.
#[test]
fn a_small_workspace_is_not_starved_by_a_flood_that_its_routers_cannot_refuse_in_time() {
    let found = starved(&beside_flood(5.0, 0.25));
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn a_small_workspace_is_not_starved_at_busy_routers_when_engines_crash() {
    for (flood, second) in [(2.0, 1.0), (2.6, 1.2), (3.5, 0.7), (3.5, 1.0), (3.5, 1.4)] {
        let found = starved(&beside_second_flood(flood, second));
        assert!(found.is_empty(), "{flood} M beside {second} M: {found:#?}");
    }
}
