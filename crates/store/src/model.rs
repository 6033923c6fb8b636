//! Interfaces of the platform and the types of its calls.

use {
    crate::StoreError,
    serde::{Deserialize, Serialize},
};

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Number of writes to the row; 1 after its insert.
    pub version: u64,
    /// Content of the row.
    pub value: String,
}

/// Result of an insert-if-absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Inserted {
    /// The row was inserted.
    Done,
    /// A row with this key existed and was left unchanged.
    Exists(Row),
}

/// Result of a conditional replace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Replaced {
    /// The row was replaced and has this version.
    Done(u64),
    /// The row has another version than expected, or is absent.
    Conflict(Option<Row>),
}

/// An insert-if-absent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Insert {
    /// Key of the row.
    pub key: String,
    /// Content of the new row.
    pub value: String,
}

/// A replace that is conditional on the row's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replace {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have.
    pub expected_version: u64,
    /// New content of the row.
    pub value: String,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Inserts a row if it is absent.
    Insert(Insert),
    /// Replaces a row if its version matches.
    Replace(Replace),
}

/// A table call in its wire format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    /// Reads the row with this key.
    Read(String),
    /// Inserts a row if it is absent.
    Insert(Insert),
    /// Replaces a row if its version matches.
    Replace(Replace),
    /// Applies all writes, or none if one of them conflicts.
    Transact(Vec<Write>),
}

/// Transactional key-value table.
pub trait Table: Send + Sync {
    /// Reads a row; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError>;

    /// Inserts a row if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond; see [`StoreError`] for whether the call took effect.
    fn insert(&self, insert: Insert) -> Result<Inserted, StoreError>;

    /// Replaces a row if it has the expected version.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond; see [`StoreError`] for whether the call took effect.
    fn replace(&self, replace: Replace) -> Result<Replaced, StoreError>;

    /// Applies all writes, or none if one of them conflicts. Returns whether they were applied.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond; see [`StoreError`] for whether the call took effect.
    fn transact(&self, writes: Vec<Write>) -> Result<bool, StoreError>;
}

/// Object store with string keys.
pub trait ObjectStore: Send + Sync {
    /// Stores an object, replacing one with the same key.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
    fn put(&self, key: &str, content: &[u8]) -> Result<(), StoreError>;

    /// Reads an object; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;

    /// Lists the keys that start with a prefix, in lexicographic order.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
    fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError>;
}

/// Availability of a host or backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// Accepts work.
    Live,
    /// Is about to stop and must not get new work.
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host or backend server.
    pub name: String,
    /// Availability as listed.
    pub state: HostState,
}

/// List of live and leaving hosts. It lags behind the actual state.
pub trait HostList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not respond.
    fn hosts(&self) -> Result<Vec<HostEntry>, StoreError>;
}

/// All interfaces of the platform.
pub trait Platform: Table + ObjectStore + HostList {}

impl<T: Table + ObjectStore + HostList> Platform for T {}
