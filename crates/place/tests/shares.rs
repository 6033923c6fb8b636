//! Shares of workspaces under more load than the engines can take.

use {
    baobab_place::{AdmissionClass, Claim, Claims, Shares, max_min},
    std::time::Duration,
};

const TICK: Duration = Duration::from_millis(100);
const LARGE: u32 = 1;
const SMALL: u32 = 2;
const SMALL_FLEET: usize = 6;

#[test]
fn max_min_gives_the_small_all_and_the_others_the_same() {
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

/// Tokens that may wait at the engines for a workspace that asks for less than its share.
const BOUND: u64 = 40_000;

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn part_of(tokens: u64, share: f64) -> u64 {
    (tokens as f64 * share) as u64
}

/// Plays `seconds` in which each workspace asks every tick for some tokens in requests of a size.
/// Engines read `room` tokens a tick; what waits there is bounded by the workspace's standing.
/// Returns the tokens that each was served.
fn play(seconds: u32, demand: [(u32, u64, u64); 2], capacity: f64, room: u64) -> [u64; 2] {
    let mut shares = Shares::new(Duration::ZERO);
    let mut served = [0; 2];
    let mut waiting = 0_u64;
    for tick in 1..=seconds * 10 {
        waiting = waiting.saturating_sub(room);
        shares.tick(&Claims::new(), capacity, SMALL_FLEET, TICK * tick);
        for (index, (workspace, requests, tokens)) in demand.into_iter().enumerate() {
            for _ in 0..requests {
                shares.claim(workspace, tokens);
                let admission_class = shares.admission_class(workspace);
                let bound = match admission_class {
                    AdmissionClass::Modest => BOUND,
                    AdmissionClass::WithinShare { unused } => part_of(BOUND, 0.75 + 0.25 * unused),

                    AdmissionClass::Late | AdmissionClass::BeyondShare { .. } => BOUND * 3 / 10,
                };
                if waiting + tokens <= bound {
                    shares.charge(workspace, tokens, admission_class);
                    waiting += tokens;
                    served[index] += tokens;
                }
            }
        }
    }
    served
}

#[test]
fn a_flood_of_one_workspace_leaves_the_other_its_share() {
    // The large one asks for 200,000 tokens a second and is asked first in every tick, the small
    // one for 40,000; engines produce 100,000.
    let [large, small] = play(
        20,
        [(LARGE, 10, 2_000), (SMALL, 2, 2_000)],
        100_000.0,
        10_000,
    );
    let asked_by_small = 20 * 40_000;
    assert!(
        small * 10 >= asked_by_small * 9,
        "small got {small} of {asked_by_small}"
    );
    assert!(large >= 20 * 50_000, "large got {large}");
}

#[test]
fn large_requests_are_served_as_well_as_small_ones() {
    let [large, small] = play(
        30,
        [(LARGE, 1, 20_000), (SMALL, 20, 1_000)],
        100_000.0,
        1_000_000,
    );
    let ratio = large as f64 / small as f64;
    assert!((0.8..=1.25).contains(&ratio), "{large} against {small}");
}

#[test]
fn capacity_beyond_the_declared_is_shared_too() {
    // Declared are 50,000 tokens a second; engines that read from caches serve 100,000.
    let [large, small] = play(
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
fn what_other_routers_are_asked_counts() {
    let mut shares = Shares::new(Duration::ZERO);
    let mut others = Claims::new();
    others.insert(
        LARGE,
        Claim {
            requested: 300_000.0,
            served: 50_000.0,
        },
    );
    let mut covered = 0;
    for tick in 1..=100_u32 {
        shares.tick(&others, 100_000.0, SMALL_FLEET, TICK * tick);
        shares.claim(LARGE, 10_000);
        let admission_class = shares.admission_class(LARGE);
        if !admission_class.is_beyond_share() {
            shares.charge(LARGE, 10_000, admission_class);
            covered += 10_000;
        }
    }
    // A quarter of what is asked is asked here: so is a quarter of the share, besides the kept 120,000.
    assert!(covered <= 10 * 25_000 + 140_000, "{covered}");
    assert!(covered >= 10 * 25_000, "{covered}");
}

#[test]
fn room_that_is_left_is_not_taken_from_the_share() {
    let mut shares = Shares::new(Duration::ZERO);
    shares.claim(SMALL, 1_000);
    shares.charge(
        SMALL,
        1_000_000,
        AdmissionClass::BeyondShare { excess: 1.0 },
    );
    assert!(!shares.admission_class(SMALL).is_beyond_share());
}

/// Plays six seconds in which a workspace asks for 300,000 tokens a second beside one that asks for
/// 150,000. Servers run 200,000 and are found gone by the other requests. Returns how many of the
/// first one's 300 last requests were beyond its share.
fn requests_beyond_the_share(gives_back: bool) -> u32 {
    const TOKENS: u64 = 3_000;
    const ROOM: u64 = 20_000;
    let mut shares = Shares::new(Duration::ZERO);
    let mut beyond = 0;
    for tick in 1..=60 {
        let mut run = 0;
        for (workspace, requests) in [(LARGE, 10), (SMALL, 5)] {
            for _ in 0..requests {
                shares.claim(workspace, TOKENS);
                let admission_class = shares.admission_class(workspace);
                if admission_class.is_beyond_share() {
                    beyond += u32::from(workspace == LARGE && tick > 30);
                    continue;
                }
                shares.charge(workspace, TOKENS, admission_class);
                if run + TOKENS <= ROOM {
                    run += TOKENS;
                } else if gives_back {
                    shares.refund(workspace, TOKENS, admission_class);
                }
            }
        }
        shares.tick(&Claims::new(), 200_000.0, SMALL_FLEET, TICK * tick);
    }
    beyond
}

#[test]
fn requests_that_no_server_has_run_raise_no_share() {
    assert_eq!(requests_beyond_the_share(false), 0, "what is to be avoided");
    let beyond = requests_beyond_the_share(true);
    assert!(beyond >= 300 / 10, "{beyond} of 300 beyond the share");
}

/// Returns the tokens that a workspace is served within its share at a sudden flood, summed over
/// the routers that its callers reach, before any share has been refilled.
fn served_at_once(routers: usize) -> u64 {
    const TOKENS: u64 = 15_000;
    let mut served = 0;
    for _ in 0..routers {
        let mut shares = Shares::new(Duration::ZERO);
        let mut others = Claims::new();
        others.insert(
            LARGE,
            Claim {
                requested: 3_000_000.0,
                served: 600_000.0,
            },
        );
        shares.tick(&others, 600_000.0, routers, TICK);
        shares.claim(LARGE, TOKENS);
        shares.tick(&others, 600_000.0, routers, TICK * 2);
        while !shares.admission_class(LARGE).is_beyond_share() {
            shares.charge(LARGE, TOKENS, AdmissionClass::WithinShare { unused: 1.0 });
            served += TOKENS;
        }
    }
    served
}

#[test]
fn callers_that_reach_many_routers_get_no_more_at_once() {
    let one_request_each = 90 * 15_000;
    let at_six = served_at_once(6);
    let at_ninety = served_at_once(90);
    assert!(
        at_ninety <= at_six + one_request_each,
        "{at_ninety} tokens through 90 routers, {at_six} through 6"
    );
}

#[test]
fn a_workspace_whose_callers_have_moved_is_served_its_share() {
    // The routers that its callers have left are still asked for ten times as much, so that nine
    // tenths of its share are handed out where nobody asks.
    let mut shares = Shares::new(Duration::ZERO);
    let mut others = Claims::new();
    others.insert(
        SMALL,
        Claim {
            requested: 300_000.0,
            served: 0.0,
        },
    );
    let mut served = 0;
    for tick in 1..=60 {
        for _ in 0..2 {
            shares.claim(SMALL, 3_000);
            let admission_class = shares.admission_class(SMALL);
            if !admission_class.is_beyond_share() {
                shares.charge(SMALL, 3_000, admission_class);
                served += 3_000;
            }
        }
        shares.tick(&others, 60_000.0, 90, TICK * tick);
    }
    let share = 6 * 60_000;
    assert!(served * 10 >= share * 7, "{served} of a share of {share}");
    assert!(served * 10 <= share * 13, "{served} of a share of {share}");
}
