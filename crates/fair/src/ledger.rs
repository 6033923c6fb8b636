//! Service that workspaces have received, as grow-only counters merged by maximum.

use {
    baobab_unit::{PoolId, Token, WorkspaceId},
    std::collections::BTreeMap,
};

/// Most that a counter may grow in one merge; more is a peer's error and is not taken.
const MAX_GROWTH_TOKENS: Token = 1 << 40;

/// The service of every workspace over all pools.
///
/// Merging is commutative, associative and idempotent, so that lost, repeated and reordered
/// messages do no harm. State is bounded by pools times workspaces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    tokens: BTreeMap<PoolId, BTreeMap<WorkspaceId, Token>>,
    lifts: BTreeMap<WorkspaceId, Token>,
    levels: BTreeMap<WorkspaceId, Token>,
}

impl Ledger {
    /// Returns the workspace's service and lift in tokens.
    #[must_use]
    pub fn level(&self, workspace: WorkspaceId) -> Token {
        self.levels.get(&workspace).copied().unwrap_or_default()
    }

    /// Returns the tokens that a pool has served to a workspace.
    #[must_use]
    pub fn tokens(&self, pool: PoolId, workspace: WorkspaceId) -> Token {
        self.tokens
            .get(&pool)
            .and_then(|pool| pool.get(&workspace))
            .copied()
            .unwrap_or_default()
    }

    /// Returns the workspace's lift.
    #[must_use]
    pub fn lift(&self, workspace: WorkspaceId) -> Token {
        self.lifts.get(&workspace).copied().unwrap_or_default()
    }

    /// Returns the workspaces that a pool has served.
    pub fn workspaces(&self, pool: PoolId) -> impl Iterator<Item = WorkspaceId> + '_ {
        self.tokens
            .get(&pool)
            .into_iter()
            .flat_map(|pool| pool.keys().copied())
    }

    /// Adds tokens that a pool has just served.
    pub fn charge(&mut self, pool: PoolId, workspace: WorkspaceId, growth: Token) {
        let total = self.tokens(pool, workspace).saturating_add(growth);
        self.merge_tokens(pool, workspace, total);
    }

    /// Merges a pool's counter. Returns false where the value is implausible and was not taken.
    pub fn merge_tokens(&mut self, pool: PoolId, workspace: WorkspaceId, total: Token) -> bool {
        let counter = self
            .tokens
            .entry(pool)
            .or_default()
            .entry(workspace)
            .or_default();
        let growth = total.saturating_sub(*counter);
        if growth > MAX_GROWTH_TOKENS {
            return false;
        }
        *counter += growth;
        self.raise(workspace, growth);
        true
    }

    /// Merges a lift. Returns false where the value is implausible and was not taken.
    pub fn merge_lift(&mut self, workspace: WorkspaceId, lift: Token) -> bool {
        let counter = self.lifts.entry(workspace).or_default();
        let growth = lift.saturating_sub(*counter);
        if growth > MAX_GROWTH_TOKENS {
            return false;
        }
        *counter += growth;
        self.raise(workspace, growth);
        true
    }

    /// Lifts a workspace to a level where it is below it.
    pub fn lift_to(&mut self, workspace: WorkspaceId, level: Token) {
        let missing = level.saturating_sub(self.level(workspace));
        let lift = self.lift(workspace).saturating_add(missing);
        self.merge_lift(workspace, lift);
    }

    /// Forgets workspaces that are no longer declared.
    pub fn retain(&mut self, keep: impl Fn(WorkspaceId) -> bool) {
        for pool in self.tokens.values_mut() {
            pool.retain(|workspace, _| keep(*workspace));
        }
        self.lifts.retain(|workspace, _| keep(*workspace));
        self.levels.retain(|workspace, _| keep(*workspace));
    }

    fn raise(&mut self, workspace: WorkspaceId, growth: Token) {
        *self.levels.entry(workspace).or_default() += growth;
    }
}
