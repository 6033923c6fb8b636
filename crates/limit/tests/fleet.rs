//! Permits of one server's owner for fleets of several sizes, over a network that delays and loses.

use {
    baobab_limit::{Limits, Priority},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

const SERVER: u32 = 7;
const LIMIT_PER_S: f64 = 3.0;
const LENGTH_MS: u64 = 30_000;
/// One way between routers, in milliseconds.
const DELAY_MS: std::ops::RangeInclusive<u64> = 1..=6;
/// Time after which a question counts as unanswered.
const ANSWER_TIMEOUT_MS: u64 = 30;
/// Wait after a question without an answer.
const UNANSWERED_WAIT: Duration = Duration::from_millis(100);

/// Demand of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Demand {
    /// All requests reach one router.
    One,
    /// Requests reach all routers alike.
    All,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    routers: usize,
    demand: Demand,
    loss: f64,
    /// Interval at which the owner restarts and another router owns the server.
    owner_changes_ms: Option<u64>,
}

enum Event {
    Question {
        router: usize,
        owner: usize,
    },
    Answer {
        router: usize,
        result: Result<(), Duration>,
    },
    Unanswered {
        router: usize,
    },
}

/// Returns the times in ms at which requests were sent.
fn play(case: Case, seed: u64) -> Vec<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut routers: Vec<Limits> = (0..case.routers).map(|_| known_limit()).collect();
    let mut waiting = vec![false; case.routers];
    let mut events: BTreeMap<u64, Vec<Event>> = BTreeMap::new();
    let mut sent = Vec::new();
    let mut owner = 0;
    for now_ms in 0..LENGTH_MS {
        let now = Duration::from_millis(now_ms);
        if case
            .owner_changes_ms
            .is_some_and(|interval| now_ms % interval == interval - 1)
        {
            routers[owner] = known_limit();
            owner = (owner + 1) % case.routers;
        }
        for event in events.remove(&now_ms).unwrap_or_default() {
            let delay_ms = random.random_range(DELAY_MS);
            let is_lost = random.random_bool(case.loss);
            match event {
                Event::Question { router, owner } => {
                    let result = routers[owner].take_permit(SERVER, Priority::Large, 1.0, now);
                    if !is_lost {
                        let answer = Event::Answer { router, result };
                        events.entry(now_ms + delay_ms).or_default().push(answer);
                    }
                }
                Event::Answer { router, result } if waiting[router] => {
                    waiting[router] = false;
                    match result {
                        Ok(()) => {
                            routers[router].on_granted(SERVER, Priority::Large);
                            sent.push(now_ms);
                        }
                        Err(wait) => {
                            routers[router].on_refused(SERVER, Priority::Large, wait, now);
                        }
                    }
                }
                Event::Answer { .. } => {}
                Event::Unanswered { router } => {
                    if std::mem::take(&mut waiting[router]) {
                        routers[router].on_refused(SERVER, Priority::Large, UNANSWERED_WAIT, now);
                    }
                }
            }
        }
        let router = match case.demand {
            Demand::One => case.routers - 1,
            Demand::All => random.random_range(0..case.routers),
        };
        if waiting[router] || routers[router].wait(SERVER, Priority::Large, now).is_some() {
            continue;
        }
        if router == owner {
            match routers[router].take_permit(SERVER, Priority::Large, 1.0, now) {
                Ok(()) => sent.push(now_ms),
                Err(wait) => {
                    routers[router].on_refused(SERVER, Priority::Large, wait, now);
                }
            }
            continue;
        }
        waiting[router] = true;
        routers[router].on_asked(SERVER, Priority::Large, now);
        let timeout_ms = now_ms + ANSWER_TIMEOUT_MS;
        events
            .entry(timeout_ms)
            .or_default()
            .push(Event::Unanswered { router });
        if !random.random_bool(case.loss) {
            let delay_ms = random.random_range(DELAY_MS);
            let question = Event::Question { router, owner };
            events.entry(now_ms + delay_ms).or_default().push(question);
        }
    }
    sent
}

fn known_limit() -> Limits {
    let mut limits = Limits::default();
    limits.on_response(SERVER, Some(LIMIT_PER_S));
    limits
}

fn most_in_four_seconds(sent: &[u64]) -> usize {
    let count_from = |from: u64| {
        sent.iter()
            .filter(|at| (from..from + 4000).contains(at))
            .count()
    };
    sent.iter().map(|from| count_from(*from)).max().unwrap_or(0)
}

#[test]
fn the_sum_over_all_routers_keeps_the_limit_and_uses_it() {
    for routers in [1, 6, 58, 295] {
        for demand in [Demand::One, Demand::All] {
            let case = Case {
                routers,
                demand,
                loss: 0.0,
                owner_changes_ms: None,
            };
            let sent = play(case, 1);
            let most = most_in_four_seconds(&sent);
            assert!(most as f64 <= LIMIT_PER_S * 4.0 + 1.0, "{case:?}: {most}");
            let least = LIMIT_PER_S * 30.0 * 0.95;
            assert!(sent.len() as f64 >= least, "{case:?}: {}", sent.len());
        }
    }
}

#[test]
fn lost_datagrams_and_changing_owners_do_not_exceed_the_limit() {
    for routers in [6, 58, 295] {
        for demand in [Demand::One, Demand::All] {
            for seed in 0..5 {
                let case = Case {
                    routers,
                    demand,
                    loss: 0.03,
                    owner_changes_ms: Some(2000),
                };
                let sent = play(case, seed);
                let most = most_in_four_seconds(&sent);
                assert!(most as f64 <= LIMIT_PER_S * 4.0 + 5.0, "{case:?}: {most}");
                let least = LIMIT_PER_S * 30.0 * 0.7;
                assert!(sent.len() as f64 >= least, "{case:?}: {}", sent.len());
            }
        }
    }
}
