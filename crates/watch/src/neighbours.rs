//! Changes of a table that routers tell each other, so that few of them ask the store.

use {
    crate::{Change, Revision},
    std::{future::Future, pin::Pin},
};

/// Changes of one table between two revisions, as a router has read them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// Revision that the changes follow.
    pub since: Revision,
    /// Revision that they lead to.
    pub revision: Revision,
    /// The changes in order; empty where there were none.
    pub changes: Vec<Change>,
}

/// What a neighbour will have told.
pub type Hearing<'a> = Pin<Box<dyn Future<Output = Told> + 'a>>;

/// The other routers that follow the same table.
pub trait Neighbours {
    /// Tells whether this router is one of those that ask the store.
    fn is_reader(&self) -> bool;

    /// Tells the others what was read.
    fn tell(&self, told: Told);

    /// Stops telling, because the store is out of reach.
    fn stop_telling(&self);

    /// Waits for what another router tells.
    fn hear(&mut self) -> Hearing<'_>;

    /// Tells whether anything was told since the last call, and drops it.
    fn has_heard(&mut self) -> bool;
}
