//! Retry budget of a router for one service.

use {
    super::history::Period,
    std::{collections::VecDeque, time::Duration},
};

/// Number of buckets in the sliding window.
const BUCKETS: u32 = 20;
/// Start of the clock, so that what an earlier run has counted has a place before it.
const CLOCK_OFFSET: Duration = Duration::from_secs(1 << 30);

/// What was counted from `begin` on, for the width of a bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    begin: Duration,
    requests: u32,
    retries: u32,
}

/// Requests to one service and their retries in a sliding window, against a ratio and a fixed count.
#[derive(Debug)]
pub struct RetryBudget {
    window: Duration,
    /// Oldest first.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates an empty budget over a sliding window of this length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn on_request(&mut self, now: Duration) {
        self.bucket_at(now).requests += 1;
    }

    /// Counts a retry.
    pub fn on_retry(&mut self, now: Duration) {
        self.bucket_at(now).retries += 1;
    }

    /// Returns the requests and retries of the window. The oldest bucket may be only partly within it: its
    /// retries count, its requests do not.
    pub fn counts(&mut self, now: Duration) -> (u32, u32) {
        self.expire(now);
        let window_begin = (CLOCK_OFFSET + now).saturating_sub(self.window);
        let whole = self
            .buckets
            .iter()
            .filter(|bucket| bucket.begin >= window_begin);
        let requests = whole
            .map(|bucket| bucket.requests)
            .fold(0, u32::saturating_add);
        let retries = self
            .buckets
            .iter()
            .map(|bucket| bucket.retries)
            .fold(0, u32::saturating_add);
        (requests, retries)
    }

    /// Takes one retry from the budget. Returns whether it was available.
    pub fn try_retry(&mut self, ratio: f64, fixed: f64, now: Duration) -> bool {
        let is_allowed = self.may_retry(ratio, fixed, now);
        if is_allowed {
            self.on_retry(now);
        }
        is_allowed
    }

    /// Returns whether the budget has a retry left, without taking it.
    pub fn may_retry(&mut self, ratio: f64, fixed: f64, now: Duration) -> bool {
        let (requests, retries) = self.counts(now);
        let allowed = ratio * f64::from(requests) + fixed;
        f64::from(retries) + 1.0 <= allowed
    }

    /// Returns what the window holds, oldest first.
    pub fn periods(&mut self, now: Duration) -> Vec<Period> {
        self.expire(now);
        let to_period = |bucket: &Bucket| Period {
            age: (CLOCK_OFFSET + now).saturating_sub(bucket.begin),
            requests: bucket.requests,
            retries: bucket.retries,
        };
        self.buckets.iter().map(to_period).collect()
    }

    /// Adds what was counted elsewhere.
    pub fn add(&mut self, periods: &[Period], now: Duration) {
        self.buckets.extend(periods.iter().map(|period| Bucket {
            begin: (CLOCK_OFFSET + now).saturating_sub(period.age),
            requests: period.requests,
            retries: period.retries,
        }));
        self.buckets
            .make_contiguous()
            .sort_unstable_by_key(|bucket| bucket.begin);
        self.expire(now);
    }

    fn bucket_width(&self) -> Duration {
        self.window / BUCKETS
    }

    fn expire(&mut self, now: Duration) {
        let kept_for = self.window + self.bucket_width();
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.begin + kept_for <= CLOCK_OFFSET + now)
        {
            self.buckets.pop_front();
        }
    }

    fn bucket_at(&mut self, now: Duration) -> &mut Bucket {
        let begin = CLOCK_OFFSET + now;
        let width = self.bucket_width();
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.begin + width <= begin)
        {
            self.expire(now);
            self.buckets.push_back(Bucket {
                begin,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
