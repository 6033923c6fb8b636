//! The store as a source of changes, and who listens to them.

use {
    crate::SourceError,
    std::{future::Future, pin::Pin, time::Duration},
};

/// Position in the store's history; one counter for all tables.
pub type Revision = u64;

/// A row of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// The row's content.
    pub content: Vec<u8>,
}

/// A table as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Newest revision of the store at that moment.
    pub revision: Revision,
    /// The moment on the store's clock.
    pub store_time: Duration,
    /// All rows.
    pub rows: Vec<Row>,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The row is new or has new content.
    Written(Row),
    /// The row with this key was removed.
    Removed(String),
}

/// Changes since a revision, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Newest revision of the store.
    pub revision: Revision,
    /// When the store answered, on its own clock.
    pub store_time: Duration,
    /// The changes; empty where there were none for the whole wait.
    pub changes: Vec<Change>,
}

/// An answer that is on its way.
pub type SourceFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, SourceError>> + 'a>>;

/// Reads tables of the store.
pub trait Source {
    /// Reads a whole table.
    fn list<'a>(&'a mut self, table: &'a str, timeout: Duration) -> SourceFuture<'a, Listing>;

    /// Waits for changes of a table since a revision, for `wait` at most.
    fn changes<'a>(
        &'a mut self,
        table: &'a str,
        since: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> SourceFuture<'a, Changes>;

    /// Gives up a call that was cancelled, and its connection.
    fn reset(&mut self);
}

/// Takes what a follower has learnt.
pub trait Listener {
    /// The whole table.
    fn on_listing(&mut self, rows: Vec<Row>);

    /// One change.
    fn on_change(&mut self, change: Change);

    /// All changes up to `store_time`, a moment on the store's clock, have been told. `as_of` is the
    /// earliest moment on the suspension clock that this can have been.
    fn on_current(&mut self, as_of: Duration, store_time: Duration);

    /// The table is out of reach.
    fn on_lost(&mut self, error: &SourceError);

    /// The table can be read again.
    fn on_regained(&mut self);
}
