//! Interfaces of the store and of the receiver of its changes.

use {
    crate::SourceError,
    std::{future::Future, pin::Pin, time::Duration},
};

/// Position in the store's history, counted over all tables. It is unique within an era only.
pub type Revision = u64;
/// Number of times that the store was restored from a copy; revisions and rows written after the
/// copy was made are lost at each restoration.
pub type Era = u64;

/// A row of a table; its content is opaque here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Key, unique in the table.
    pub key: String,
    /// Content as stored.
    pub content: Vec<u8>,
}

/// A consistent snapshot of a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Era of the store.
    pub era: Era,
    /// Newest revision of the store at the time of the snapshot.
    pub revision: Revision,
    /// Time of the snapshot on the store's clock.
    pub store_time: Duration,
    /// All rows.
    pub rows: Vec<Row>,
}

/// A change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The row was inserted or its content replaced.
    Written(Row),
    /// The row with this key was deleted.
    Removed(String),
}

/// Changes since a revision, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Era of the store.
    pub era: Era,
    /// Newest revision of the store.
    pub revision: Revision,
    /// Time of the response on the store's clock.
    pub store_time: Duration,
    /// The changes; empty if there were none during the whole wait.
    pub changes: Vec<Change>,
}

/// Pending result of a call to the store.
pub type SourceFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, SourceError>> + 'a>>;

/// Client of the store's tables.
pub trait Source {
    /// Reads a whole table. Fails if there is no response within `timeout`.
    fn list<'a>(&'a mut self, table: &'a str, timeout: Duration) -> SourceFuture<'a, Listing>;

    /// Returns the changes of a table since a revision; waits for up to `wait` if there are none.
    /// `timeout` limits the whole call.
    fn changes<'a>(
        &'a mut self,
        table: &'a str,
        since: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> SourceFuture<'a, Changes>;

    /// Discards a cancelled call and its connection.
    fn reset(&mut self);
}

/// Receives the changes and the state of a followed table.
pub trait Listener {
    /// Signals that the store was restored from a copy that lacks the latest writes. The next
    /// listing may contain outdated rows and lack others, until their owners write them again.
    fn on_restored(&mut self);

    /// Signals that the first listing is that of a store that was restored before, perhaps a moment
    /// ago.
    fn on_listed_restored(&mut self) {}

    /// Replaces the whole table.
    fn on_listing(&mut self, rows: Vec<Row>);

    /// Applies one change.
    fn on_change(&mut self, change: Change);

    /// Signals that all changes up to `store_time`, on the store's clock, have been applied.
    /// `as_of` is the earliest time on the suspension clock that `store_time` can correspond to.
    fn on_current(&mut self, as_of: Duration, store_time: Duration);

    /// Signals that all changes that other routers have read have been applied.
    fn on_gossip_current(&mut self) {}

    /// Signals that the table has become unreachable.
    fn on_unreachable(&mut self, error: &SourceError);

    /// Signals that the table can be read again.
    fn on_reachable(&mut self);
}
