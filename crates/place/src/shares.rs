//! Max-min fair shares of the engines' throughput, by workspace.
//!
//! Under overload, workspaces that request less than an even share get all they request; the others
//! get equal shares. Every router computes the shares from the requested rates of all routers and
//! serves its own part of them, through one token bucket per workspace.

use {
    crate::{AdmissionClass, CallerAttempt},
    baobab_unit::WorkspaceId,
    std::{
        collections::HashMap,
        ops::{AddAssign, SubAssign},
        time::Duration,
    },
};

/// Minimum time between two refills.
const REFILL_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the counted claims that decays per tick; the mean age of a claim is 20 ticks.
const DECAY_PER_TICK: f64 = 0.05;
/// Requested rate, in tokens per second, below which a workspace's account is removed.
const MIN_RATE: f64 = 1.0;
/// Bucket size, in seconds of refill.
const BURST_S: f64 = 2.0;
/// Factor on the served rate when it sets the capacity, so that growing capacity is discovered.
const CAPACITY_HEADROOM: f64 = 1.05;
/// Served fraction of what it is owed below which a workspace is within its share, whatever its balance
/// at this router: its callers may have moved here from other routers, which still hold their part.
const UNDERSERVED_RATIO: f64 = 0.8;
/// Minimum bucket size of all routers together, in tokens: a few of the largest requests at each of
/// a few routers. It is divided evenly, so that a workspace whose callers reach many routers gets
/// no more than one whose callers reach two.
const FLEET_MIN_BURST_TOKENS: f64 = 720_000.0;

/// Fraction of the share that a workspace has to be owed for the excess of others to be judged by what it
/// gets. What smaller ones get depends on single requests.
const MIN_COMPARED_FRACTION: f64 = 0.05;
/// Minimum of the served fraction by which the excess of others is judged. What a workspace gets may have causes that
/// leave more to others.
const MIN_SERVED_FRACTION: f64 = 0.2;

/// Requested and served rates of one workspace, in tokens per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkspaceRates {
    /// Requested rate.
    pub requested: f64,
    /// Served rate.
    pub served: f64,
}

impl AddAssign for WorkspaceRates {
    fn add_assign(&mut self, other: Self) {
        self.requested += other.requested;
        self.served += other.served;
    }
}

impl SubAssign for WorkspaceRates {
    /// Rates stay at least zero, whatever the rounding errors.
    fn sub_assign(&mut self, other: Self) {
        self.requested = (self.requested - other.requested).max(0.0);
        self.served = (self.served - other.served).max(0.0);
    }
}

/// Rates by workspace.
pub type RatesByWorkspace = HashMap<WorkspaceId, WorkspaceRates>;

/// What decides the standing of a workspace, for the logs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ShareBasis {
    /// Rates over all routers.
    pub total: WorkspaceRates,
    /// Share of any one workspace, in tokens per second.
    pub share: f64,
    /// Tokens left in this router's bucket.
    pub balance: f64,
}

#[derive(Debug, Default)]
struct Account {
    /// Requested tokens, with exponential decay.
    requested: f64,
    /// Served tokens, with exponential decay.
    served: f64,
    /// Tokens left in the bucket; negative after an overdraft.
    balance: f64,
    /// Bucket size, in tokens; also the limit of an overdraft.
    burst_tokens: f64,
    /// Whether the requested rate over all routers exceeds the share.
    is_limited: bool,
    /// Whether the served rate over all routers is behind what the workspace is owed.
    is_underserved: bool,
    /// Served rate over all routers, relative to the share.
    served_ratio: f64,
    /// Rates over all routers.
    total: WorkspaceRates,
}

/// Token buckets for this router's part of the workspaces' shares.
#[derive(Debug)]
pub struct Shares {
    accounts: HashMap<WorkspaceId, Account>,
    /// Minimum bucket size at this router, in tokens.
    min_burst_tokens: f64,
    /// Share of any one workspace, in tokens per second.
    share: f64,
    /// Least served fraction of what any workspace is owed.
    min_served_fraction: f64,
    /// Rates at the other routers, as of the last refill.
    others: RatesByWorkspace,
    ticked_at: Duration,
}

impl Shares {
    /// Creates shares without accounts; the first refill is due 100 ms after `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            accounts: HashMap::new(),
            min_burst_tokens: FLEET_MIN_BURST_TOKENS,
            share: f64::INFINITY,
            min_served_fraction: 1.0,
            others: RatesByWorkspace::new(),
            ticked_at: now,
        }
    }

    /// Counts the tokens that a request claims, whether or not it is served. A workspace that this router
    /// sees for the first time has the standing that its requests at the others give it.
    pub fn claim(&mut self, workspace: WorkspaceId, tokens: u64) {
        let account = self.accounts.entry(workspace).or_insert_with(|| {
            let mut account = Account {
                balance: self.min_burst_tokens,
                burst_tokens: self.min_burst_tokens,
                ..Account::default()
            };
            let total = self.others.get(&workspace).copied().unwrap_or_default();
            account.set_standing(total, self.share);
            account
        });
        account.requested += tokens as f64;
    }

    /// Returns the admission class of a workspace's next request. It does not depend on the size of
    /// the request, so that large ones are served as often as small ones.
    ///
    /// A late request, whose caller was refused before, gets spare capacity only, unless its workspace
    /// is behind what it is owed: else a workspace that is refused once stays behind. A stream that is
    /// taken up is within the share at least, since what is done of it would be lost.
    #[must_use]
    pub fn admission_class(
        &self,
        workspace: WorkspaceId,
        attempt: CallerAttempt,
    ) -> AdmissionClass {
        let on_time = self.on_time_class(workspace);
        let is_underserved = self
            .accounts
            .get(&workspace)
            .is_some_and(|account| account.is_underserved);
        let is_owed = match attempt {
            CallerAttempt::First => false,
            CallerAttempt::Late => is_underserved,
            CallerAttempt::TakeUp => on_time.is_beyond_share(),
        };
        if is_owed {
            AdmissionClass::WithinShare { unused: 0.0 }
        } else if attempt == CallerAttempt::Late && !on_time.is_beyond_share() {
            AdmissionClass::Late
        } else {
            on_time
        }
    }

    /// Returns whether a workspace requests less than its share, or is behind what it is owed.
    #[must_use]
    pub fn is_owed(&self, workspace: WorkspaceId) -> bool {
        self.accounts
            .get(&workspace)
            .is_none_or(|account| !account.is_limited || account.is_underserved)
    }

    /// Returns what a workspace is served over all routers, as a fraction of what it is owed: its share, or all
    /// that it requests if that is less. One if it requests nothing here.
    #[must_use]
    pub fn served_fraction(&self, workspace: WorkspaceId) -> f64 {
        self.accounts.get(&workspace).map_or(1.0, |account| {
            account.total.served / account.total.requested.min(self.share).max(MIN_RATE)
        })
    }

    fn on_time_class(&self, workspace: WorkspaceId) -> AdmissionClass {
        let Some(account) = self.accounts.get(&workspace) else {
            return AdmissionClass::Modest;
        };
        if !account.is_limited {
            return AdmissionClass::Modest;
        }
        if account.is_underserved {
            return AdmissionClass::WithinShare { unused: 1.0 };
        }
        if account.balance > 0.0 {
            return AdmissionClass::WithinShare {
                unused: account.balance / account.burst_tokens,
            };
        }
        AdmissionClass::BeyondShare {
            excess: account.served_ratio.max(1.0) / self.min_served_fraction,
        }
    }

    /// Returns what the standing of a workspace was decided by.
    #[must_use]
    pub fn basis(&self, workspace: WorkspaceId) -> ShareBasis {
        let account = self.accounts.get(&workspace);
        ShareBasis {
            total: account.map_or_else(WorkspaceRates::default, |account| account.total),
            share: self.share,
            balance: account.map_or(0.0, |account| account.balance),
        }
    }

    /// Counts the tokens of an admitted request as served. Requests beyond the share are not
    /// deducted from the balance.
    pub fn charge(&mut self, workspace: WorkspaceId, tokens: u64, admission_class: AdmissionClass) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.served += tokens as f64;
            if !admission_class.is_beyond_share() {
                account.balance = (account.balance - tokens as f64).max(-account.burst_tokens);
            }
        }
    }

    /// Reverts the charge for a request that no server has run.
    pub fn refund(&mut self, workspace: WorkspaceId, tokens: u64, admission_class: AdmissionClass) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.served = (account.served - tokens as f64).max(0.0);
            if !admission_class.is_beyond_share() {
                account.balance += tokens as f64;
            }
        }
    }

    /// Returns the requested and served rates of each workspace at this router.
    #[must_use]
    pub fn rates(&self) -> RatesByWorkspace {
        self.accounts
            .iter()
            .map(|(&workspace, account)| (workspace, account.rates()))
            .collect()
    }

    /// Recomputes the shares and refills the buckets if 100 ms have passed since the last refill.
    ///
    /// `others` is the sum of the other routers' rates, `capacity` the minimum throughput of all
    /// engines in tokens per second, and `fleet_size` the number of routers. Cache hits raise the
    /// throughput, so the served rate counts as the capacity if it is higher.
    pub fn tick(
        &mut self,
        others: RatesByWorkspace,
        capacity: f64,
        fleet_size: usize,
        now: Duration,
    ) {
        let elapsed = now.saturating_sub(self.ticked_at);
        if elapsed < REFILL_INTERVAL {
            return;
        }
        self.ticked_at = now;
        self.min_burst_tokens = FLEET_MIN_BURST_TOKENS / fleet_size.max(1) as f64;
        let ticks = elapsed.as_secs_f64() / REFILL_INTERVAL.as_secs_f64();
        self.others = others;
        let totals = self.totals();
        let served: f64 = totals.values().map(|rates| rates.served).sum();
        let requested: Vec<f64> = totals.values().map(|rates| rates.requested).collect();
        let share = max_min(requested, capacity.max(served * CAPACITY_HEADROOM));
        self.share = share;
        self.min_served_fraction = min_served_fraction(&totals, share);
        for (workspace, account) in &mut self.accounts {
            account.set_standing(totals.get(workspace).copied().unwrap_or_default(), share);
            let total = account.total.requested;
            let local_fraction = if total > 0.0 {
                account.rates().requested / total
            } else {
                0.0
            };
            let refill = total.min(share) * local_fraction;
            account.burst_tokens = (refill * BURST_S).max(self.min_burst_tokens);
            account.balance =
                (account.balance + refill * elapsed.as_secs_f64()).min(account.burst_tokens);
            let decay = (1.0 - DECAY_PER_TICK).powf(ticks);
            account.requested *= decay;
            account.served *= decay;
        }
        self.accounts
            .retain(|_, account| account.rates().requested >= MIN_RATE);
    }

    fn totals(&self) -> RatesByWorkspace {
        let mut totals = self.others.clone();
        for (workspace, rates) in self.rates() {
            let total = totals.entry(workspace).or_default();
            total.requested += rates.requested;
            total.served += rates.served;
        }
        totals
    }
}

impl Account {
    /// Sets the standing that the rates over all routers give the workspace.
    fn set_standing(&mut self, total: WorkspaceRates, share: f64) {
        self.total = total;
        self.is_limited = total.requested > share;
        self.served_ratio = total.served / share.max(MIN_RATE);
        self.is_underserved = total.served < UNDERSERVED_RATIO * total.requested.min(share);
    }

    fn rates(&self) -> WorkspaceRates {
        WorkspaceRates {
            requested: rate(self.requested),
            served: rate(self.served),
        }
    }
}

/// Returns the least fraction of what a workspace is owed that it is served; one if all get their share.
fn min_served_fraction(totals: &RatesByWorkspace, share: f64) -> f64 {
    totals
        .values()
        .map(|rates| (rates.requested.min(share), rates.served))
        .filter(|(owed, _)| *owed > MIN_COMPARED_FRACTION * share)
        .map(|(owed, served)| served / owed)
        .fold(1.0, f64::min)
        .max(MIN_SERVED_FRACTION)
}

/// Returns the max-min fair share of `capacity`: the maximum that any one workspace gets. Infinite
/// if the capacity covers all requested rates.
#[must_use]
pub fn max_min(mut requested: Vec<f64>, capacity: f64) -> f64 {
    requested.sort_by(f64::total_cmp);
    let mut remaining = capacity;
    for (index, rate) in requested.iter().enumerate() {
        let even_share = remaining / (requested.len() - index) as f64;
        if *rate >= even_share {
            return even_share;
        }
        remaining -= rate;
    }
    f64::INFINITY
}

fn rate(decayed_tokens: f64) -> f64 {
    decayed_tokens * DECAY_PER_TICK / REFILL_INTERVAL.as_secs_f64()
}
