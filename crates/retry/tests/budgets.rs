//! What one router may retry, by what it knows of the fleet and of its earlier run.

use {
    baobab_retry::{HistoryKeeper, Period, RetryBudgets, RetryHistory, RetryLimits},
    std::time::Duration,
};

const SERVICE: u32 = 7;
const LIMITS: RetryLimits = RetryLimits {
    ratio: 0.2,
    allowance: 60.0,
    window: Duration::from_secs(10),
};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns how many retries are left at `now`, after this many requests then.
fn left(budgets: &mut RetryBudgets, requests: u32, now: Duration) -> usize {
    for _ in 0..requests {
        budgets.on_request(SERVICE, now);
    }
    std::iter::from_fn(|| {
        let decision = budgets.try_retry(SERVICE, now);
        decision.is_allowed.then_some(())
    })
    .count()
}

fn history(age: Duration, requests: u32, retries: u32) -> RetryHistory {
    let period = Period {
        age,
        requests,
        retries,
    };
    RetryHistory {
        services: vec![(SERVICE, vec![period])],
    }
}

#[test]
fn the_fixed_count_is_divided_by_the_largest_fleet_known_within_the_window() {
    for (case, sizes, now_s, expected) in [
        ("no list", vec![], 12.0, 17),
        ("one router", vec![(1, 0.0)], 12.0, 68),
        ("six routers", vec![(6, 0.0)], 12.0, 25),
        ("the list shrinks", vec![(6, 0.0), (1, 8.0)], 9.9, 25),
        (
            "it shrank earlier",
            vec![(6, 0.0), (1, 9.0), (1, 11.0)],
            12.0,
            68,
        ),
        ("it grows", vec![(1, 0.0), (6, 9.0)], 12.0, 25),
        ("the list is new", vec![(1, 0.5)], 1.0, 22),
    ] {
        let mut budgets = RetryBudgets::new(LIMITS);
        budgets.on_first_run();
        for (size, at_s) in sizes {
            budgets.set_fleet_size(size, seconds(at_s));
        }
        let left = left(&mut budgets, 100, seconds(now_s));
        assert_eq!(left, expected, "{case}");
    }
}

#[test]
fn a_run_uses_what_its_earlier_run_left_if_that_is_known() {
    for (case, history, reported_ago_s, now_s, expected) in [
        ("nothing known", None, 0.0, 2.0, 3),
        ("nothing known for a window", None, 0.0, 10.0, 25),
        (
            "all used",
            Some(history(seconds(1.0), 100, 42)),
            0.5,
            0.2,
            0,
        ),
        (
            "half used",
            Some(history(seconds(1.0), 100, 20)),
            0.5,
            0.2,
            21,
        ),
        (
            "used before the window",
            Some(history(seconds(11.0), 100, 42)),
            0.5,
            0.2,
            24,
        ),
        (
            "reported long before the start",
            Some(history(seconds(4.0), 100, 20)),
            4.0,
            0.2,
            3,
        ),
    ] {
        let mut budgets = RetryBudgets::new(LIMITS);
        budgets.set_fleet_size(6, Duration::ZERO);
        let now = seconds(now_s);
        if let Some(history) = history {
            budgets.on_history(&history, seconds(reported_ago_s), now);
        }
        assert_eq!(left(&mut budgets, 100, now), expected, "{case}");
    }
}

#[test]
fn a_history_passes_through_a_keeper_unchanged_but_for_its_age() {
    let mut earlier = RetryBudgets::new(LIMITS);
    earlier.set_fleet_size(6, Duration::ZERO);
    earlier.on_first_run();
    let used = left(&mut earlier, 100, seconds(9.0));
    let mut keeper = HistoryKeeper::default();
    keeper.keep(1, earlier.history(8, seconds(9.0)), seconds(50.0));
    assert_eq!(keeper.get(2, seconds(51.0)), None);
    let (history, reported_ago) = keeper.get(1, seconds(51.0)).unwrap();
    assert_eq!(reported_ago, seconds(1.0));
    let period = history.services[0].1[0];
    assert_eq!(period.age, seconds(1.0));
    assert_eq!(usize::try_from(period.retries).unwrap(), used);
    keeper.expire(LIMITS.window, seconds(61.0));
    assert_eq!(keeper.get(1, seconds(61.0)), None);
}

#[test]
fn a_changed_window_keeps_what_was_counted() {
    let mut budgets = RetryBudgets::new(LIMITS);
    budgets.set_fleet_size(6, Duration::ZERO);
    let now = seconds(20.0);
    assert_eq!(left(&mut budgets, 100, now), 25);
    let longer = RetryLimits {
        window: Duration::from_secs(30),
        ..LIMITS
    };
    budgets.set_limits(longer, now);
    assert_eq!(left(&mut budgets, 0, seconds(45.0)), 0);
    assert!(left(&mut budgets, 0, seconds(52.0)) > 0);
}
