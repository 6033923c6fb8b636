//! What a dispatcher wants sent, and its figures for operators.

use {
    crate::{Grants, PoolUpdate, SyncRow},
    baobab_unit::{HostId, PoolId},
};

/// What the dispatcher wants sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Grants to a router.
    Grants {
        /// The router.
        to: HostId,
        /// The message.
        grants: Grants,
    },
    /// Pool update to the dispatchers of all other pools.
    PoolUpdate(PoolUpdate),
    /// What is known of another pool, to its new dispatcher.
    Sync {
        /// The dispatcher's host.
        to: HostId,
        /// Its pool.
        pool: PoolId,
        /// The rows.
        rows: Vec<SyncRow>,
    },
}

/// Figures for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DispatcherStatus {
    /// Slots of engines that take work.
    pub slots: u32,
    /// Free ones among them.
    pub free: u32,
    /// Engines that are given fewer streams because they are slow.
    pub slow_engines: u32,
    /// Requests waiting in the pool's own domain.
    pub waiting: u32,
    /// Grants given.
    pub granted: u64,
    /// Grants given to requests of other domains.
    pub granted_remote: u64,
    /// Slots taken back from running streams.
    pub revoked: u64,
    /// Grants whose slots were freed unanswered.
    pub reclaimed: u64,
    /// Rows of peers that were refused as implausible.
    pub rows_refused: u64,
}
