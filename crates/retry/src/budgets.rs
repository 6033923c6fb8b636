//! The retry budgets of a router: its part of what the fleet may repeat.
//!
//! The fleet's bound holds for any window and all routers together, also those that have ended within it.
//! Each router keeps to its own requests and its part of the fixed count, so that no coordination is needed.
//! What a run has used is forgotten with its process unless other routers keep it. A run that does not know
//! what the one before has used takes [`UNKNOWN_HISTORY_FRACTION`] of the bound, which all other runs leave
//! unused.

use {
    super::{
        budget::RetryBudget,
        history::{RetryHistory, ServiceId},
    },
    std::{collections::HashMap, time::Duration},
};

/// Fraction of the bound for a run that does not know what the one before has used.
pub const UNKNOWN_HISTORY_FRACTION: f64 = 0.15;
/// Fraction of the bound for all other runs.
pub const KNOWN_HISTORY_FRACTION: f64 = 1.0 - UNKNOWN_HISTORY_FRACTION;
/// Maximum time between the last report of the run before and the start of this one. What was used in
/// between is not known.
pub const MAX_REPORT_GAP: Duration = Duration::from_secs(3);
/// Retries per service that count as made by the run before after its last report: each one is reported, but the
/// last report may be lost.
const UNREPORTED_RETRIES: u32 = 1;

/// The deployment's bound on the retries of the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request to a service.
    pub ratio: f64,
    /// Additional retries allowed per service.
    pub allowance: f64,
    /// Window of both.
    pub window: Duration,
}

/// Result of a question to the budget, and what it was based on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryDecision {
    /// Whether there is a retry left.
    pub is_allowed: bool,
    /// Requests of callers within the window.
    pub requests: u32,
    /// Retries within the window, without the one asked for.
    pub retries: u32,
    /// This router's part of the fleet's fixed count.
    pub fixed: f64,
    /// Fraction of the bound that this router may use.
    pub fraction: f64,
}

/// What is known of the retries of the run before this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum History {
    /// Nothing.
    Unknown,
    /// There was none.
    None,
    /// They are counted.
    Counted,
}

/// The retry budgets of a router, by service. Times are those since its start.
#[derive(Debug)]
pub struct RetryBudgets {
    limits: RetryLimits,
    services: HashMap<ServiceId, RetryBudget>,
    history: History,
    /// Largest number of routers that was known within the last window, and when.
    fleet_size: Option<(usize, Duration)>,
}

impl RetryBudgets {
    /// Creates the budgets of a router that has just started.
    #[must_use]
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
            history: History::Unknown,
            fleet_size: None,
        }
    }

    /// Sets the deployment's bound.
    pub fn set_limits(&mut self, limits: RetryLimits, now: Duration) {
        if limits.window != self.limits.window {
            for budget in self.services.values_mut() {
                let periods = budget.periods(now);
                *budget = RetryBudget::new(limits.window);
                budget.add(&periods, now);
            }
        }
        self.limits = limits;
    }

    /// Sets the number of routers that are listed now. Routers that have ended within the window count.
    pub fn set_fleet_size(&mut self, size: usize, now: Duration) {
        let is_kept = self.fleet_size.is_some_and(|(largest, at)| {
            largest > size && now.saturating_sub(at) <= self.limits.window
        });
        if !is_kept {
            self.fleet_size = Some((size, now));
        }
    }

    /// Records that this is the host's first run.
    pub fn on_first_run(&mut self) {
        if self.history == History::Unknown {
            self.history = History::None;
        }
    }

    /// Adds what the run before has counted, as of now, if `reported_ago` shows that it reported until
    /// its end. Returns whether it does.
    pub fn on_history(
        &mut self,
        history: &RetryHistory,
        reported_ago: Duration,
        now: Duration,
    ) -> bool {
        let is_usable =
            self.history == History::Unknown && reported_ago.saturating_sub(now) <= MAX_REPORT_GAP;
        if is_usable {
            self.history = History::Counted;
            for (service, periods) in &history.services {
                let budget = self.budget(*service);
                budget.add(periods, now);
                for _ in 0..UNREPORTED_RETRIES {
                    budget.on_retry(now);
                }
            }
        }
        is_usable
    }

    /// Whether nothing that the run before has used can be missing.
    #[must_use]
    pub fn is_history_known(&self, now: Duration) -> bool {
        self.history != History::Unknown || now >= self.limits.window
    }

    /// Returns what was counted within the window, for the services with most retries.
    pub fn history(&mut self, max_services: usize, now: Duration) -> RetryHistory {
        let mut services: Vec<_> = self
            .services
            .iter_mut()
            .map(|(service, budget)| (budget.counts(now).1, *service, budget.periods(now)))
            .filter(|(_, _, periods)| !periods.is_empty())
            .collect();
        services.sort_unstable_by_key(|(retries, service, _)| (u32::MAX - retries, *service));
        services.truncate(max_services);
        RetryHistory {
            services: services
                .into_iter()
                .map(|(_, service, periods)| (service, periods))
                .collect(),
        }
    }

    /// Returns the length of the window.
    #[must_use]
    pub fn window(&self) -> Duration {
        self.limits.window
    }

    /// Counts a caller's request.
    pub fn on_request(&mut self, service: ServiceId, now: Duration) {
        self.budget(service).on_request(now);
    }

    /// Takes a retry, if there is one left.
    pub fn try_retry(&mut self, service: ServiceId, now: Duration) -> RetryDecision {
        let decision = self.may_retry(service, now);
        if decision.is_allowed {
            self.budget(service).on_retry(now);
        }
        decision
    }

    /// Returns whether there is a retry left, without taking it.
    pub fn may_retry(&mut self, service: ServiceId, now: Duration) -> RetryDecision {
        let fraction = if self.is_history_known(now) {
            KNOWN_HISTORY_FRACTION
        } else {
            UNKNOWN_HISTORY_FRACTION
        };
        let fixed = self.fixed(now);
        let ratio = self.limits.ratio;
        let budget = self.budget(service);
        let (requests, retries) = budget.counts(now);
        RetryDecision {
            is_allowed: budget.may_retry(ratio * fraction, fixed * fraction, now),
            requests,
            retries,
            fixed,
            fraction,
        }
    }

    /// Returns this router's part of the fixed count. It accrues over the first window, in which routers
    /// that have just started get to know each other. Without a list of routers it is none.
    fn fixed(&self, now: Duration) -> f64 {
        let Some((fleet_size, _)) = self.fleet_size else {
            return 0.0;
        };
        let accrued = if self.history == History::Counted {
            1.0
        } else {
            now.as_secs_f64() / self.limits.window.as_secs_f64()
        };
        self.limits.allowance / fleet_size.max(1) as f64 * accrued.min(1.0)
    }

    fn budget(&mut self, service: ServiceId) -> &mut RetryBudget {
        self.services
            .entry(service)
            .or_insert_with(|| RetryBudget::new(self.limits.window))
    }
}
