//! Each workspace's max-min share of what all engines produce.
//!
//! Answers a load of more than the engines can take: the workspaces that ask for less than an even
//! share get all of it, the others get the same. Every router computes the shares from what all
//! routers were asked for and hands out its own part of them.

use {
    crate::AdmissionClass,
    baobab_unit::WorkspaceId,
    std::{collections::HashMap, time::Duration},
};

/// Time between two refills.
const TICK: Duration = Duration::from_millis(100);
/// Part of the counted claims that a tick forgets; the mean age of a claim is 20 ticks.
const FORGET: f64 = 0.05;
/// Below this rate, in tokens a second, a workspace is forgotten.
const LEAST_RATE: f64 = 1.0;
/// Time for which an unused share is kept.
const KEEP_S: f64 = 2.0;
/// Times what is served that is handed out, so that a growing capacity is found.
const HEADROOM: f64 = 1.05;
/// Part of its share below which a workspace is served within it, whatever is left at this router:
/// its callers may have moved here from other routers, which still hold their part.
const BEHIND_PART: f64 = 0.8;
/// Unused share that all routers together keep at least, in tokens: a few of the largest requests at
/// each of a few routers. Each keeps an even part, so that a workspace whose callers reach many
/// routers gets no more than one whose callers reach two.
const FLEET_KEEP_TOKENS: f64 = 720_000.0;

/// What one workspace asks for and gets, in tokens a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Claim {
    /// What it asks for.
    pub requested: f64,
    /// What it gets.
    pub served: f64,
}

/// Claims by workspace.
pub type Claims = HashMap<WorkspaceId, Claim>;

#[derive(Debug, Default)]
struct Account {
    /// Tokens that were asked for, decaying.
    requested: f64,
    /// Tokens that were served, decaying.
    served: f64,
    /// Tokens that may still be used.
    balance: f64,
    /// Tokens that are kept for later use at most.
    most: f64,
    /// Whether the claims of all routers together exceed the share.
    is_limited: bool,
    /// What all routers together have served, relative to the share.
    served_part: f64,
}

/// This router's part of the shares.
#[derive(Debug)]
pub struct Shares {
    accounts: HashMap<WorkspaceId, Account>,
    /// Unused share that this router keeps at least, in tokens.
    keep_tokens: f64,
    ticked_at: Duration,
}

impl Shares {
    /// Starts without claims.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            accounts: HashMap::new(),
            keep_tokens: FLEET_KEEP_TOKENS,
            ticked_at: now,
        }
    }

    /// Counts what a request asks for.
    pub fn claim(&mut self, workspace: WorkspaceId, tokens: u64) {
        let account = self.accounts.entry(workspace).or_insert_with(|| Account {
            balance: self.keep_tokens,
            most: self.keep_tokens,
            ..Account::default()
        });
        account.requested += tokens as f64;
    }

    /// Returns a workspace's claim to room. The size of the request is of no account, so that large
    /// ones are served as often as small ones.
    #[must_use]
    pub fn admission_class(&self, workspace: WorkspaceId) -> AdmissionClass {
        let Some(account) = self.accounts.get(&workspace) else {
            return AdmissionClass::Modest;
        };
        if !account.is_limited {
            return AdmissionClass::Modest;
        }
        if account.served_part < BEHIND_PART {
            return AdmissionClass::WithinShare { unused: 1.0 };
        }
        if account.balance > 0.0 {
            return AdmissionClass::WithinShare {
                unused: account.balance / account.most,
            };
        }
        AdmissionClass::BeyondShare {
            excess: account.served_part.max(1.0),
        }
    }

    /// Counts what a request uses. What is used beyond the share, where there is room, is not
    /// taken from it.
    pub fn charge(&mut self, workspace: WorkspaceId, tokens: u64, admission_class: AdmissionClass) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.served += tokens as f64;
            if !admission_class.is_beyond_share() {
                account.balance = (account.balance - tokens as f64).max(-account.most);
            }
        }
    }

    /// Gives back what was charged for a request that no server has run.
    pub fn refund(&mut self, workspace: WorkspaceId, tokens: u64, admission_class: AdmissionClass) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.served = (account.served - tokens as f64).max(0.0);
            if !admission_class.is_beyond_share() {
                account.balance += tokens as f64;
            }
        }
    }

    /// Returns what each workspace asks of this router and gets from it.
    #[must_use]
    pub fn claims(&self) -> Claims {
        self.accounts
            .iter()
            .map(|(&workspace, account)| (workspace, account.claim()))
            .collect()
    }

    /// Refills the shares where a tick has passed. `others` is what the other routers are asked
    /// for, `capacity` what all engines produce at least, in tokens a second. Engines that read
    /// from their caches produce more: what is served counts as the capacity where it is higher.
    /// `fleet_size` is the number of routers.
    pub fn tick(&mut self, others: &Claims, capacity: f64, fleet_size: usize, now: Duration) {
        let elapsed = now.saturating_sub(self.ticked_at);
        if elapsed < TICK {
            return;
        }
        self.ticked_at = now;
        self.keep_tokens = FLEET_KEEP_TOKENS / fleet_size.max(1) as f64;
        let ticks = elapsed.as_secs_f64() / TICK.as_secs_f64();
        let totals = self.totals(others);
        let served: f64 = totals.values().map(|claim| claim.served).sum();
        let requested: Vec<f64> = totals.values().map(|claim| claim.requested).collect();
        let share = max_min(requested, capacity.max(served * HEADROOM));
        for (workspace, account) in &mut self.accounts {
            let Claim {
                requested: total,
                served,
            } = totals.get(workspace).copied().unwrap_or_default();
            account.is_limited = total > share;
            account.served_part = served / share.max(LEAST_RATE);
            let part = if total > 0.0 {
                account.claim().requested / total
            } else {
                0.0
            };
            let refill = total.min(share) * part;
            account.most = (refill * KEEP_S).max(self.keep_tokens);
            account.balance = (account.balance + refill * elapsed.as_secs_f64()).min(account.most);
            let kept = (1.0 - FORGET).powf(ticks);
            account.requested *= kept;
            account.served *= kept;
        }
        self.accounts
            .retain(|_, account| account.claim().requested >= LEAST_RATE);
    }

    fn totals(&self, others: &Claims) -> Claims {
        let mut totals = others.clone();
        for (workspace, claim) in self.claims() {
            let total = totals.entry(workspace).or_default();
            total.requested += claim.requested;
            total.served += claim.served;
        }
        totals
    }
}

impl Account {
    fn claim(&self) -> Claim {
        Claim {
            requested: rate(self.requested),
            served: rate(self.served),
        }
    }
}

/// Returns the most that any workspace gets: those that ask for less get all they ask for.
#[must_use]
pub fn max_min(mut requested: Vec<f64>, capacity: f64) -> f64 {
    requested.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, rate) in requested.iter().enumerate() {
        let even = left / (requested.len() - index) as f64;
        if *rate >= even {
            return even;
        }
        left -= rate;
    }
    f64::INFINITY
}

fn rate(decaying: f64) -> f64 {
    decaying * FORGET / TICK.as_secs_f64()
}
