//! Service received by workspaces, as grow-only counters merged by maximum.

use {
    baobab_unit::{PoolId, Token, WorkspaceId},
    std::collections::BTreeMap,
};

/// Maximum increase of a counter in one merge; a larger one is a peer's error and is rejected.
const MAX_INCREASE_TOKENS: Token = 1 << 40;

/// The service of every workspace over all pools.
///
/// A workspace's level, by which workspaces are compared, is its service plus its lift: tokens that
/// it did not receive and that are added when it returns from idle or may not catch up any further.
///
/// Merging is commutative, associative and idempotent, so that lost, duplicated and reordered
/// messages are harmless. State is bounded by pools times workspaces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ledger {
    tokens: BTreeMap<PoolId, BTreeMap<WorkspaceId, Token>>,
    lifts: BTreeMap<WorkspaceId, Token>,
    levels: BTreeMap<WorkspaceId, Token>,
}

impl Ledger {
    /// Returns the sum of the workspace's service over all pools and its lift, in tokens; 0 if
    /// unknown.
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

    /// Returns the tokens added to the workspace's service when it returned from idle or was
    /// limited in catching up.
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
    pub fn charge(&mut self, pool: PoolId, workspace: WorkspaceId, increase: Token) {
        let total = self.tokens(pool, workspace).saturating_add(increase);
        self.merge_tokens(pool, workspace, total);
    }

    /// Merges a pool's counter. Returns false if the value is implausible and was rejected.
    pub fn merge_tokens(&mut self, pool: PoolId, workspace: WorkspaceId, total: Token) -> bool {
        let counter = self
            .tokens
            .entry(pool)
            .or_default()
            .entry(workspace)
            .or_default();
        let increase = total.saturating_sub(*counter);
        if increase > MAX_INCREASE_TOKENS {
            return false;
        }
        *counter += increase;
        self.increase_level(workspace, increase);
        true
    }

    /// Merges a lift. Returns false if the value is implausible and was rejected.
    pub fn merge_lift(&mut self, workspace: WorkspaceId, lift: Token) -> bool {
        let counter = self.lifts.entry(workspace).or_default();
        let increase = lift.saturating_sub(*counter);
        if increase > MAX_INCREASE_TOKENS {
            return false;
        }
        *counter += increase;
        self.increase_level(workspace, increase);
        true
    }

    /// Raises the workspace's lift so that its level is at least `level` tokens.
    pub fn lift_to(&mut self, workspace: WorkspaceId, level: Token) {
        let deficit = level.saturating_sub(self.level(workspace));
        let lift = self.lift(workspace).saturating_add(deficit);
        self.merge_lift(workspace, lift);
    }

    /// Drops the counters of workspaces for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(WorkspaceId) -> bool) {
        for pool in self.tokens.values_mut() {
            pool.retain(|workspace, _| keep(*workspace));
        }
        self.lifts.retain(|workspace, _| keep(*workspace));
        self.levels.retain(|workspace, _| keep(*workspace));
    }

    fn increase_level(&mut self, workspace: WorkspaceId, increase: Token) {
        *self.levels.entry(workspace).or_default() += increase;
    }
}
