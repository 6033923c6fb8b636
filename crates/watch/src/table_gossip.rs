//! Changes of a table that routers tell each other, so that few of them ask the store.

use {
    crate::{Change, Revision},
    std::{future::Future, pin::Pin},
};

/// Changes of one table between two revisions, as a router has read them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDelta {
    /// Revision that the changes follow.
    pub since: Revision,
    /// Revision that they lead to.
    pub revision: Revision,
    /// The changes in order; empty where there were none.
    pub changes: Vec<Change>,
}

/// What a neighbour will have told.
pub type DeltaFuture<'a> = Pin<Box<dyn Future<Output = TableDelta> + 'a>>;

/// The other routers that follow the same table.
pub trait TableGossip {
    /// Tells whether this router is one of those that ask the store.
    fn reads_store(&self) -> bool;

    /// Tells the others what was read.
    fn publish(&self, delta: TableDelta);

    /// Stops telling, because the store is out of reach.
    fn stop_publishing(&self);

    /// Waits for what another router tells.
    fn next_delta(&mut self) -> DeltaFuture<'_>;

    /// Tells whether anything was told since the last call, and drops it.
    fn discard_pending(&mut self) -> bool;
}
