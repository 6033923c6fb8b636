//! Retries within a sliding window.

use {baobab_retry::RetryBudget, std::time::Duration};

const WINDOW: Duration = Duration::from_secs(10);

#[test]
fn retries_stay_within_the_ratio_and_the_fixed_count() {
    let mut budget = RetryBudget::new(WINDOW);
    let now = Duration::from_secs(1);
    for _ in 0..100 {
        budget.on_request(now);
    }
    let allowed = (0..100).filter(|_| budget.try_retry(0.2, 5.0, now)).count();
    assert_eq!(allowed, 25);
}

#[test]
fn retries_of_an_earlier_window_do_not_count() {
    let mut budget = RetryBudget::new(WINDOW);
    while budget.try_retry(0.2, 5.0, Duration::from_secs(1)) {}
    assert!(!budget.try_retry(0.2, 5.0, Duration::from_secs(10)));
    assert!(budget.try_retry(0.2, 5.0, Duration::from_secs(12)));
}

#[test]
fn no_window_contains_more_retries_than_allowed() {
    let mut budget = RetryBudget::new(WINDOW);
    let mut times: Vec<Duration> = Vec::new();
    for step in 0..2_000_u32 {
        let now = Duration::from_millis(20) * step;
        if budget.try_retry(0.0, 5.0, now) {
            times.push(now);
        }
    }
    for (index, time) in times.iter().enumerate() {
        let in_window = times[index..]
            .iter()
            .filter(|later| **later < *time + WINDOW)
            .count();
        assert!(in_window <= 5, "{in_window} from {time:?}");
    }
}
