//! Retry budget of a router.

use std::{collections::VecDeque, time::Duration};

/// Number of buckets in the sliding window.
const BUCKETS: u32 = 20;

#[derive(Debug, Default, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// This router's part of the fleet's retry allowance for one service.
///
/// The allowance is `ratio` times the requests of a sliding window plus this router's part of a
/// fixed count that is divided among all routers, so that no coordination is needed.
#[derive(Debug)]
pub struct RetryBudget {
    bucket_width: Duration,
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// Creates an empty budget over a sliding window of this length.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            bucket_width: window / BUCKETS,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn on_request(&mut self, now: Duration) {
        self.bucket_at(now).requests += 1;
    }

    /// Returns the requests and retries of the window.
    pub fn counts(&mut self, now: Duration) -> (u32, u32) {
        self.bucket_at(now);
        let requests = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries = self.buckets.iter().map(|bucket| bucket.retries).sum();
        (requests, retries)
    }

    /// Takes one retry from the budget. Returns whether it was available.
    pub fn try_retry(&mut self, ratio: f64, fixed: f64, now: Duration) -> bool {
        let is_allowed = self.may_retry(ratio, fixed, now);
        if is_allowed {
            self.bucket_at(now).retries += 1;
        }
        is_allowed
    }

    /// Returns whether the budget has a retry left, without taking it.
    pub fn may_retry(&mut self, ratio: f64, fixed: f64, now: Duration) -> bool {
        let (requests, retries) = self.counts(now);
        let allowed = ratio * f64::from(requests) + fixed;
        f64::from(retries + 1) <= allowed
    }

    fn bucket_at(&mut self, now: Duration) -> &mut Bucket {
        let index =
            u64::try_from(now.as_nanos() / self.bucket_width.as_nanos().max(1)).unwrap_or(u64::MAX);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| bucket.index + u64::from(BUCKETS) < index)
        {
            self.buckets.pop_front();
        }
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.index < index)
        {
            self.buckets.push_back(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
