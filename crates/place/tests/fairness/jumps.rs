//! Demands that jump every two to five seconds, through a few routers and through all, while a
//! quarter of the engines crash.

use {
    crate::support::{
        Conditions, Crash, Demand, RATES_INTERVAL, SITE_KINDS, Scenario, Variant, play,
    },
    std::{thread, time::Duration},
};

/// Routers with a small part of a core each.
pub fn conditions() -> Conditions {
    Conditions {
        kinds: SITE_KINDS,
        crash: Some(Crash {
            at: Duration::from_millis(11_500),
            fraction: 0.25,
            outage: Duration::from_secs(2),
        }),
        keeps_overload: true,
        refuses_unread: true,
        turns_away: true,
        read_time: Duration::from_millis(1),
        ask_time: Duration::from_micros(1500),
        serve_time: Duration::from_millis(8),
        ..Conditions::default()
    }
}

/// Routers that the load keeps far from busy.
fn fast_routers() -> Conditions {
    Conditions {
        read_time: Duration::ZERO,
        ask_time: Duration::ZERO,
        serve_time: Duration::ZERO,
        ..conditions()
    }
}

/// A flood through three routers, a smaller demand through two others, and demands through all, which
/// grow with the fleet.
#[allow(clippy::cast_precision_loss)]
pub fn scenario(routers: u32, flood_mega_tokens_per_s: f64, conditions: Conditions) -> Scenario {
    let scale = f64::from(routers) / 90.0;
    let demand = |mega_tokens_per_s: f64, routers: (usize, usize)| Demand {
        tokens_per_s: mega_tokens_per_s * 1e6,
        routers,
        from: Duration::ZERO,
        jumps: true,
    };
    let count = usize::try_from(routers).unwrap();
    let mut demands = vec![
        demand(flood_mega_tokens_per_s, (0, 3)),
        demand(flood_mega_tokens_per_s * 0.2, (3, 2)),
        demand(scale, (0, count - 1)),
        demand(0.6 * scale, (0, count)),
    ];
    let small = [0.5, 0.25, 0.2, 0.15, 0.1, 0.08, 0.06];
    demands.extend(small.map(|rate| demand(rate * scale, (0, count))));
    Scenario {
        routers: count,
        engines: routers * 2 / 3,
        capacity: 1.6e6 * scale,
        demands,
        length: Duration::from_secs(20),
        conditions,
    }
}

/// Returns the seeds whose plays are unfair, with the first finding of each.
fn unfair(scenario: &Scenario, seeds: u64) -> Vec<String> {
    (1..=seeds)
        .filter_map(|seed| {
            let found = play(scenario, seed).unfair().into_iter().next()?;
            Some(format!("seed {seed}: {found}"))
        })
        .collect()
}

/// Plays the seeds at the same time. Returns all findings.
pub fn unfair_plays(scenario: &Scenario, seeds: u64) -> Vec<String> {
    thread::scope(|scope| {
        let plays: Vec<_> = (1..=seeds)
            .map(|seed| scope.spawn(move || (seed, play(scenario, seed).unfair())))
            .collect();
        plays
            .into_iter()
            .flat_map(|play| {
                let (seed, found) = play.join().unwrap();
                found
                    .into_iter()
                    .map(move |found| format!("seed {seed}: {found}"))
            })
            .collect()
    })
}

/// Returns the conditions of plays that show what a finding hinges on.
fn variants() -> Vec<(&'static str, Conditions)> {
    let base = conditions();
    let no_crash = Conditions {
        crash: None,
        ..base.clone()
    };
    let fresh_rates = Conditions {
        rates_interval: RATES_INTERVAL / 8,
        ..base.clone()
    };
    let all_read = Conditions {
        refuses_unread: false,
        ..base.clone()
    };
    let rules = [
        ("as it is", Variant::AsItIs),
        ("buckets of the fleet at each router", Variant::WholeBuckets),
        ("broken attempts not charged", Variant::BrokenNotCharged),
        ("late requests like first ones", Variant::LateAsFirst),
        (
            "requests refused unread not counted",
            Variant::UnreadNotCounted,
        ),
        ("overloaded routers ask like others", Variant::OverloadedAsk),
        ("full bounds within the share", Variant::FullBounds),
    ];
    let mut variants: Vec<_> = rules
        .into_iter()
        .map(|(name, variant)| {
            let base = base.clone();
            (name, Conditions { variant, ..base })
        })
        .collect();
    variants.extend([
        ("no crash", no_crash),
        ("rates 50 ms old", fresh_rates),
        ("no request refused unread", all_read),
        ("fast routers", fast_routers()),
    ]);
    variants
}

#[test]
fn jumps_are_fair_at_routers_with_time_to_spare() {
    for (routers, seeds, length_s) in [(24, 8, 20), (58, 8, 20), (90, 4, 20), (295, 1, 9)] {
        let scenario = Scenario {
            length: Duration::from_secs(length_s),
            ..scenario(routers, 2.6, fast_routers())
        };
        let found = unfair(&scenario, seeds);
        assert!(found.is_empty(), "{routers} routers: {found:#?}");
    }
}

#[test]
fn jumps_of_a_flood_through_three_overloaded_routers_are_fair() {
    for routers in [24, 58] {
        let found = unfair(&scenario(routers, 2.6, conditions()), 20);
        assert!(found.is_empty(), "{routers} routers: {found:#?}");
    }
}

#[test]
fn jumps_of_a_flood_through_three_of_ninety_overloaded_routers_are_fair() {
    let seeds = 10;
    let found = unfair(&scenario(90, 3.5, conditions()), seeds);
    if found.is_empty() {
        return;
    }
    let mut counts = Vec::new();
    for variants in variants().chunks(4) {
        let plays: Vec<_> = variants
            .iter()
            .map(|(name, conditions)| {
                let scenario = scenario(90, 3.5, conditions.clone());
                let play = thread::spawn(move || unfair(&scenario, seeds).len());
                (name, play)
            })
            .collect();
        for (name, play) in plays {
            counts.push(format!("{name}: {} of {seeds}", play.join().unwrap()));
        }
    }
    panic!("{found:#?}, by variant: {counts:#?}");
}

#[test]
fn engines_are_kept_busy_by_jumps() {
    let throughput = play(&scenario(90, 2.6, conditions()), 1).throughput(3);
    assert!(throughput >= 2.8e6, "{throughput}");
}
