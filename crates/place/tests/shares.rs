//! Workspace shares under overload.

use {
    baobab_place::{
        AdmissionClass, CallerAttempt, RatesByWorkspace, Shares, WorkspaceRates, max_min,
    },
    std::time::Duration,
};

const TICK: Duration = Duration::from_millis(100);
const LARGE: u32 = 1;
const SMALL: u32 = 2;
const SMALL_FLEET: usize = 6;

#[test]
fn max_min_serves_small_requests_in_full_and_the_others_equally() {
    for (requested, capacity, expected) in [
        (vec![], 100.0, f64::INFINITY),
        (vec![10.0, 20.0], 100.0, f64::INFINITY),
        (vec![10.0, 200.0, 300.0], 110.0, 50.0),
        (vec![100.0, 100.0], 100.0, 50.0),
        (vec![1.0, 1.0, 1000.0], 100.0, 98.0),
    ] {
        let share = max_min(requested.clone(), capacity);
        assert!(share.total_cmp(&expected).is_eq(), "{requested:?}: {share}");
    }
}

/// Maximum tokens queued at the engines for a workspace that requests less than its share.
const MAX_QUEUED_TOKENS: u64 = 40_000;

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn fraction_of(tokens: u64, fraction: f64) -> u64 {
    (tokens as f64 * fraction) as u64
}

/// Simulates `seconds` in which each workspace sends, every tick, a number of requests of a number
/// of tokens. Engines prefill `tokens_per_tick`; the queue is bounded by the admission class.
/// Returns the tokens that each workspace was served.
fn simulate(
    seconds: u32,
    demand: [(u32, u64, u64); 2],
    capacity: f64,
    tokens_per_tick: u64,
) -> [u64; 2] {
    let mut shares = Shares::new(Duration::ZERO);
    let mut served = [0; 2];
    let mut queued = 0_u64;
    for tick in 1..=seconds * 10 {
        queued = queued.saturating_sub(tokens_per_tick);
        shares.tick(RatesByWorkspace::new(), capacity, SMALL_FLEET, TICK * tick);
        for (index, (workspace, requests, tokens)) in demand.into_iter().enumerate() {
            for _ in 0..requests {
                shares.claim(workspace, tokens);
                let admission_class = shares.admission_class(workspace, CallerAttempt::First);
                let bound = match admission_class {
                    AdmissionClass::Modest => MAX_QUEUED_TOKENS,
                    AdmissionClass::WithinShare { unused } => {
                        fraction_of(MAX_QUEUED_TOKENS, 0.75 + 0.25 * unused)
                    }

                    AdmissionClass::Late | AdmissionClass::BeyondShare { .. } => {
                        MAX_QUEUED_TOKENS * 3 / 10
                    }
                };
                if queued + tokens <= bound {
                    shares.charge(workspace, tokens, admission_class);
                    queued += tokens;
                    served[index] += tokens;
                }
            }
        }
    }
    served
}

#[test]
fn an_overload_by_one_workspace_leaves_the_other_its_share() {
    // The large workspace requests 200,000 tokens per second and comes first in every tick, the
    // small one 40,000; the engines' throughput is 100,000.
    let [large, small] = simulate(
        20,
        [(LARGE, 10, 2_000), (SMALL, 2, 2_000)],
        100_000.0,
        10_000,
    );
    let requested_by_small = 20 * 40_000;
    assert!(
        small * 10 >= requested_by_small * 9,
        "small got {small} of {requested_by_small}"
    );
    assert!(large >= 20 * 50_000, "large got {large}");
}

#[test]
fn large_requests_get_the_same_share_as_small_ones() {
    let [large, small] = simulate(
        30,
        [(LARGE, 1, 20_000), (SMALL, 20, 1_000)],
        100_000.0,
        1_000_000,
    );
    let ratio = large as f64 / small as f64;
    assert!((0.8..=1.25).contains(&ratio), "{large} against {small}");
}

#[test]
fn throughput_above_the_declared_capacity_is_shared_evenly() {
    // The declared capacity is 50,000 tokens per second; with cache hits engines serve 100,000.
    let [large, small] = simulate(
        30,
        [(LARGE, 10, 2_000), (SMALL, 10, 2_000)],
        50_000.0,
        10_000,
    );
    let served = large + small;
    assert!(served >= 30 * 85_000, "{served} served");
    let ratio = large as f64 / small as f64;
    assert!((0.8..=1.25).contains(&ratio), "{large} against {small}");
}

#[test]
fn claims_at_other_routers_reduce_the_local_share() {
    let mut shares = Shares::new(Duration::ZERO);
    let mut others = RatesByWorkspace::new();
    others.insert(
        LARGE,
        WorkspaceRates {
            requested: 300_000.0,
            served: 50_000.0,
        },
    );
    let mut within_share = 0;
    for tick in 1..=100_u32 {
        shares.tick(others.clone(), 100_000.0, SMALL_FLEET, TICK * tick);
        shares.claim(LARGE, 10_000);
        let admission_class = shares.admission_class(LARGE, CallerAttempt::First);
        if !admission_class.is_beyond_share() {
            shares.charge(LARGE, 10_000, admission_class);
            within_share += 10_000;
        }
    }
    // A quarter of the claims arrives here, and so a quarter of the share, plus the minimum bucket
    // of 120,000.
    assert!(within_share <= 10 * 25_000 + 140_000, "{within_share}");
    assert!(within_share >= 10 * 25_000, "{within_share}");
}

#[test]
fn requests_beyond_the_share_are_not_deducted_from_it() {
    let mut shares = Shares::new(Duration::ZERO);
    shares.claim(SMALL, 1_000);
    shares.charge(
        SMALL,
        1_000_000,
        AdmissionClass::BeyondShare { excess: 1.0 },
    );
    assert!(
        !shares
            .admission_class(SMALL, CallerAttempt::First)
            .is_beyond_share()
    );
}

/// Simulates six seconds in which one workspace requests 300,000 tokens per second and another one
/// 150,000. Servers run 200,000; the other admitted requests find no server. Returns how many of
/// the first workspace's last 300 requests were beyond its share.
fn requests_beyond_the_share(refunds: bool) -> u32 {
    const TOKENS: u64 = 3_000;
    const TOKENS_PER_TICK: u64 = 20_000;
    let mut shares = Shares::new(Duration::ZERO);
    let mut beyond = 0;
    for tick in 1..=60 {
        let mut run = 0;
        for (workspace, requests) in [(LARGE, 10), (SMALL, 5)] {
            for _ in 0..requests {
                shares.claim(workspace, TOKENS);
                let admission_class = shares.admission_class(workspace, CallerAttempt::First);
                if admission_class.is_beyond_share() {
                    beyond += u32::from(workspace == LARGE && tick > 30);
                    continue;
                }
                shares.charge(workspace, TOKENS, admission_class);
                if run + TOKENS <= TOKENS_PER_TICK {
                    run += TOKENS;
                } else if refunds {
                    shares.refund(workspace, TOKENS, admission_class);
                }
            }
        }
        shares.tick(RatesByWorkspace::new(), 200_000.0, SMALL_FLEET, TICK * tick);
    }
    beyond
}

#[test]
fn refunded_requests_do_not_raise_the_share() {
    assert_eq!(
        requests_beyond_the_share(false),
        0,
        "without refunds the share is overestimated"
    );
    let beyond = requests_beyond_the_share(true);
    assert!(beyond >= 300 / 10, "{beyond} of 300 beyond the share");
}

/// Returns the tokens that a workspace is served within its share in a sudden burst, summed over
/// the routers that its callers reach, before the first refill.
fn served_in_burst(routers: usize) -> u64 {
    const TOKENS: u64 = 15_000;
    let mut served = 0;
    for _ in 0..routers {
        let mut shares = Shares::new(Duration::ZERO);
        let mut others = RatesByWorkspace::new();
        others.insert(
            LARGE,
            WorkspaceRates {
                requested: 3_000_000.0,
                served: 600_000.0,
            },
        );
        shares.tick(others.clone(), 600_000.0, routers, TICK);
        shares.claim(LARGE, TOKENS);
        shares.tick(others.clone(), 600_000.0, routers, TICK * 2);
        while !shares
            .admission_class(LARGE, CallerAttempt::First)
            .is_beyond_share()
        {
            shares.charge(LARGE, TOKENS, AdmissionClass::WithinShare { unused: 1.0 });
            served += TOKENS;
        }
    }
    served
}

#[test]
fn a_burst_through_many_routers_is_served_no_more_than_through_few() {
    let one_request_each = 90 * 15_000;
    let through_six = served_in_burst(6);
    let through_ninety = served_in_burst(90);
    assert!(
        through_ninety <= through_six + one_request_each,
        "{through_ninety} tokens through 90 routers, {through_six} through 6"
    );
}

#[test]
fn a_workspace_whose_callers_moved_to_another_router_gets_its_share() {
    // The routers that its callers have left still report ten times as many claims, so that nine
    // tenths of its share go to routers that serve none of it.
    let mut shares = Shares::new(Duration::ZERO);
    let mut others = RatesByWorkspace::new();
    others.insert(
        SMALL,
        WorkspaceRates {
            requested: 300_000.0,
            served: 0.0,
        },
    );
    let mut served = 0;
    for tick in 1..=60 {
        for _ in 0..2 {
            shares.claim(SMALL, 3_000);
            let admission_class = shares.admission_class(SMALL, CallerAttempt::First);
            if !admission_class.is_beyond_share() {
                shares.charge(SMALL, 3_000, admission_class);
                served += 3_000;
            }
        }
        shares.tick(others.clone(), 60_000.0, 90, TICK * tick);
    }
    let share = 6 * 60_000;
    assert!(served * 10 >= share * 7, "{served} of a share of {share}");
    assert!(served * 10 <= share * 13, "{served} of a share of {share}");
}

/// Returns shares of 500,000 tokens a second for each of two workspaces, of which this router has seen
/// none. The large one has been served `served` at the other routers.
fn shares_with_rates_elsewhere(served: f64) -> Shares {
    let mut shares = Shares::new(Duration::ZERO);
    let rates = |requested, served| WorkspaceRates { requested, served };
    let others = RatesByWorkspace::from([
        (LARGE, rates(2_000_000.0, served)),
        (SMALL, rates(900_000.0, 500_000.0)),
    ]);
    shares.tick(others, 1_000_000.0, 90, TICK);
    shares
}

#[test]
fn a_workspace_that_comes_from_other_routers_is_not_modest_here() {
    let mut shares = shares_with_rates_elsewhere(600_000.0);
    shares.claim(LARGE, 3_000);
    let first = shares.admission_class(LARGE, CallerAttempt::First);
    assert!(
        matches!(first, AdmissionClass::WithinShare { .. }),
        "{first:?}"
    );
    shares.charge(LARGE, 100_000, first);
    assert!(
        shares
            .admission_class(LARGE, CallerAttempt::First)
            .is_beyond_share()
    );
}

#[test]
fn late_requests_get_spare_capacity_unless_their_workspace_is_behind() {
    for (served, expected) in [
        (300_000.0, AdmissionClass::WithinShare { unused: 0.0 }),
        (390_000.0, AdmissionClass::WithinShare { unused: 0.0 }),
        (450_000.0, AdmissionClass::Late),
        (600_000.0, AdmissionClass::Late),
    ] {
        let mut shares = shares_with_rates_elsewhere(served);
        shares.claim(LARGE, 3_000);
        assert_eq!(
            shares.admission_class(LARGE, CallerAttempt::Late),
            expected,
            "{served}"
        );
    }
    assert_eq!(
        Shares::new(Duration::ZERO).admission_class(SMALL, CallerAttempt::Late),
        AdmissionClass::Late
    );
}

#[test]
fn a_stream_that_is_taken_up_is_within_the_share_at_least() {
    for (served, expected) in [
        (300_000.0, AdmissionClass::WithinShare { unused: 1.0 }),
        (600_000.0, AdmissionClass::WithinShare { unused: 0.0 }),
    ] {
        let mut shares = shares_with_rates_elsewhere(served);
        shares.claim(LARGE, 3_000);
        let first = shares.admission_class(LARGE, CallerAttempt::First);
        shares.charge(LARGE, 100_000, first);
        let taken_up = shares.admission_class(LARGE, CallerAttempt::TakeUp);
        assert_eq!(taken_up, expected, "{served}");
    }
    let unknown = Shares::new(Duration::ZERO);
    let taken_up = unknown.admission_class(SMALL, CallerAttempt::TakeUp);
    assert_eq!(taken_up, AdmissionClass::Modest);
}

#[test]
fn the_excess_of_a_workspace_is_relative_to_the_least_served_one() {
    // What another workspace requests and is served a second; the excess of one that is served its share.
    let cases = [
        ("all get their share", 100_000.0, 50_000.0, 1.0),
        (
            "another one gets half of its share",
            100_000.0,
            25_000.0,
            2.0,
        ),
        (
            "another one gets a quarter of the little that it requests",
            20_000.0,
            5_000.0,
            4.0,
        ),
        ("another one gets nothing", 100_000.0, 0.0, 5.0),
        (
            "another one requests too little to compare",
            2_000.0,
            0.0,
            1.0,
        ),
    ];
    for (name, requested, served, expected) in cases {
        let mut shares = Shares::new(Duration::ZERO);
        shares.claim(LARGE, 10_000);
        let limited = WorkspaceRates {
            requested: 300_000.0,
            served: 0.0,
        };
        let others = |served_ratio: f64, share: f64| {
            let own = WorkspaceRates {
                served: served_ratio * share,
                ..limited
            };
            let small = WorkspaceRates { requested, served };
            RatesByWorkspace::from([(LARGE, own), (SMALL, small)])
        };
        let share = if requested < 50_000.0 {
            100_000.0 - requested
        } else {
            50_000.0
        };
        shares.tick(others(1.0, share), 100_000.0, SMALL_FLEET, TICK);
        let tokens = u64::from(u32::MAX);
        shares.charge(LARGE, tokens, AdmissionClass::WithinShare { unused: 1.0 });
        let admission_class = shares.admission_class(LARGE, CallerAttempt::First);
        let AdmissionClass::BeyondShare { excess } = admission_class else {
            panic!("{name}: {admission_class:?}");
        };
        assert!((excess - expected).abs() < 0.1, "{name}: {excess}");
    }
}
