//! Messages that a dispatcher sends, and its status.

use {
    crate::{Grants, PoolUpdate, SyncRow},
    baobab_unit::{HostId, PoolId},
};

/// A message that the caller of the dispatcher must send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Grants to a router.
    Grants {
        /// The router.
        to: HostId,
        /// The message.
        grants: Grants,
    },
    /// A pool update to the dispatchers of all other pools.
    PoolUpdate(PoolUpdate),
    /// The counters of another pool, to its new dispatcher.
    Sync {
        /// The dispatcher's host.
        to: HostId,
        /// The dispatcher's pool.
        pool: PoolId,
        /// The pool's counters by workspace.
        rows: Vec<SyncRow>,
    },
}

/// Gauges of a dispatcher, and counters since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DispatcherStatus {
    /// Usable slots of all engines.
    pub slots: u32,
    /// Free slots among them.
    pub free: u32,
    /// Engines that get fewer streams because they are slow.
    pub slow_engines: u32,
    /// Requests waiting in the pool's own domain.
    pub waiting: u32,
    /// Grants issued.
    pub granted: u64,
    /// Grants issued to requests of other domains.
    pub granted_remote: u64,
    /// Slots revoked from running streams.
    pub revoked: u64,
    /// Grants whose slots were freed without an acknowledgement.
    pub reclaimed: u64,
    /// Rows of peers that were refused as implausible.
    pub rows_refused: u64,
}
