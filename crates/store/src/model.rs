//! The platform's interfaces.

use {
    crate::StoreError,
    serde::{Deserialize, Serialize},
};

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Number of writes that the row has had.
    pub version: u64,
    /// The row's text.
    pub value: String,
}

/// Result of an insert.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Inserted {
    /// The row is new.
    Done,
    /// A row was there already and stays as it was.
    Exists(Row),
}

/// Result of a conditional replace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Replaced {
    /// The row has its new value and this version.
    Done(u64),
    /// The row has another version than expected, or is missing.
    Conflict(Option<Row>),
}

/// An insert-if-absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Insert {
    /// The row's key.
    pub key: String,
    /// The new row's text.
    pub value: String,
}

/// A replace on condition of the row's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replace {
    /// The row's key.
    pub key: String,
    /// The version that the row must have.
    pub expected_version: u64,
    /// The row's new text.
    pub value: String,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Insert if absent.
    Insert(Insert),
    /// Replace on condition.
    Replace(Replace),
}

/// A call as it is sent to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Reads the row with this key.
    Read(String),
    /// Insert if absent.
    Insert(Insert),
    /// Replace on condition.
    Replace(Replace),
    /// All writes, or none where one of them conflicts.
    Transact(Vec<Write>),
}

/// The transactional table.
pub trait Table: Send + Sync {
    /// Reads a row.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no answer.
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Inserts a row where none is.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no answer; see [`StoreError`] for whether it took effect.
    fn insert(&self, insert: Insert) -> Result<Inserted, StoreError>;

    /// Replaces a row that has the expected version.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no answer; see [`StoreError`] for whether it took effect.
    fn replace(&self, replace: Replace) -> Result<Replaced, StoreError>;

    /// Makes all writes, or none where one conflicts. Returns whether they were made.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no answer; see [`StoreError`] for whether it took effect.
    fn transact(&self, writes: Vec<Write>) -> Result<bool, StoreError>;
}

/// The object store.
pub trait Objects: Send + Sync {
    /// Stores an object under a key.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no answer.
    fn put(&self, key: &str, content: &[u8]) -> Result<(), StoreError>;

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no answer.
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;

    /// Lists the keys that start with a prefix, in order.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no answer.
    fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError>;
}

/// Whether a host or backend server stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// It takes work.
    Live,
    /// It is about to go and must get no new work.
    Leaving,
}

/// A line of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host or backend server.
    pub name: String,
    /// Whether it stays.
    pub state: HostState,
}

/// The lagging list of live and leaving hosts.
pub trait HostList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails where the platform gives no answer.
    fn hosts(&self) -> Result<Vec<HostEntry>, StoreError>;
}

/// All that the platform gives.
pub trait Platform: Table + Objects + HostList {}

impl<T: Table + Objects + HostList> Platform for T {}
