//! Interface for exchanging a table's changes between routers, so that few of them poll the store.

use {
    crate::{Change, Era, Revision},
    std::{future::Future, pin::Pin},
};

/// Changes of one table between two revisions, as read by one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDelta {
    /// Era of the store that both revisions belong to.
    pub era: Era,
    /// Revision before the changes.
    pub since: Revision,
    /// Revision after the changes.
    pub revision: Revision,
    /// The changes in order; empty if there were none.
    pub changes: Vec<Change>,
}

/// Pending delta from another router.
pub type DeltaFuture<'a> = Pin<Box<dyn Future<Output = TableDelta> + 'a>>;

/// Channel to the other routers that follow the same table.
pub trait TableGossip {
    /// Returns whether this router is one of those that poll the store.
    fn reads_store(&self) -> bool;

    /// Publishes a delta to the other routers.
    fn publish(&self, delta: TableDelta);

    /// Stops publishing while the store is unreachable.
    fn stop_publishing(&self);

    /// Waits for the next delta from another router.
    fn next_delta(&mut self) -> DeltaFuture<'_>;

    /// Discards all pending deltas. Returns whether there were any.
    fn discard_pending(&mut self) -> bool;
}
