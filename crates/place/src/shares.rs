//! Each workspace's max-min share of what all engines produce.
//!
//! Answers a load of more than the engines can take: the workspaces that ask for less than an even
//! share get all of it, the others get the same. Every router computes the shares from what all
//! routers were asked for and hands out its own part of them.

use {
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
/// Unused share that is kept at least, in tokens: a few of the largest requests.
const KEEP_TOKENS: f64 = 120_000.0;

/// What one workspace asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens a second.
    pub rate: f64,
}

#[derive(Debug, Default)]
struct Account {
    /// Claimed tokens, decaying.
    claimed: f64,
    /// Tokens that may still be used.
    balance: f64,
    /// Whether the claims of all routers together exceed the share.
    is_limited: bool,
}

/// This router's part of the shares.
#[derive(Debug)]
pub struct Shares {
    accounts: HashMap<WorkspaceId, Account>,
    ticked_at: Duration,
}

impl Shares {
    /// Starts without claims.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            accounts: HashMap::new(),
            ticked_at: now,
        }
    }

    /// Counts what a request asks for.
    pub fn claim(&mut self, workspace: WorkspaceId, tokens: u64) {
        let account = self.accounts.entry(workspace).or_insert_with(|| Account {
            balance: KEEP_TOKENS,
            ..Account::default()
        });
        account.claimed += tokens as f64;
    }

    /// Tells whether a request is within its workspace's share.
    #[must_use]
    pub fn covers(&self, workspace: WorkspaceId, tokens: u64) -> bool {
        self.accounts
            .get(&workspace)
            .is_none_or(|account| !account.is_limited || account.balance >= tokens as f64)
    }

    /// Takes what a request uses from its workspace's share.
    pub fn charge(&mut self, workspace: WorkspaceId, tokens: u64) {
        if let Some(account) = self.accounts.get_mut(&workspace) {
            account.balance = (account.balance - tokens as f64).max(-KEEP_TOKENS);
        }
    }

    /// Returns what each workspace asks of this router.
    #[must_use]
    pub fn claims(&self) -> Vec<Claim> {
        self.accounts
            .iter()
            .map(|(&workspace, account)| Claim {
                workspace,
                rate: rate(account.claimed),
            })
            .collect()
    }

    /// Refills the shares where a tick has passed. `others` is what the other routers are asked
    /// for, `capacity` what all engines produce, both in tokens a second.
    pub fn tick(&mut self, others: &HashMap<WorkspaceId, f64>, capacity: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.ticked_at);
        if elapsed < TICK {
            return;
        }
        self.ticked_at = now;
        let ticks = elapsed.as_secs_f64() / TICK.as_secs_f64();
        let totals = self.totals(others);
        let share = max_min(&totals, capacity);
        for (workspace, account) in &mut self.accounts {
            let own = rate(account.claimed);
            let total = own + others.get(workspace).copied().unwrap_or(0.0);
            account.is_limited = total > share;
            let part = if total > 0.0 { own / total } else { 0.0 };
            let refill = total.min(share) * part;
            let most = (refill * KEEP_S).max(KEEP_TOKENS);
            account.balance = (account.balance + refill * elapsed.as_secs_f64()).min(most);
            account.claimed *= (1.0 - FORGET).powf(ticks);
        }
        self.accounts
            .retain(|_, account| rate(account.claimed) >= LEAST_RATE);
    }

    fn totals(&self, others: &HashMap<WorkspaceId, f64>) -> Vec<Claim> {
        let mut sums = others.clone();
        for claim in self.claims() {
            *sums.entry(claim.workspace).or_default() += claim.rate;
        }
        sums.into_iter()
            .map(|(workspace, rate)| Claim { workspace, rate })
            .collect()
    }
}

/// Returns the most that any workspace gets: those that ask for less get all they ask for.
#[must_use]
pub fn max_min(claims: &[Claim], capacity: f64) -> f64 {
    let mut rates: Vec<f64> = claims.iter().map(|claim| claim.rate).collect();
    rates.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, rate) in rates.iter().enumerate() {
        let even = left / (rates.len() - index) as f64;
        if *rate >= even {
            return even;
        }
        left -= rate;
    }
    f64::INFINITY
}

fn rate(claimed: f64) -> f64 {
    claimed * FORGET / TICK.as_secs_f64()
}
