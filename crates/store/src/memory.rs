//! In-memory platform with fault injection, used by the stand-in and the tests.

use {
    crate::{
        HostEntry, HostList, Insert, Inserted, ObjectStore, Replace, Replaced, Row, StoreError,
        Table, Write,
    },
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        sync::{Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
};

/// Faults to inject into calls.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Rejects every call as unavailable.
    pub down: bool,
    /// Delay before each call.
    pub delay_ms: u64,
    /// Number of upcoming table writes that take effect but whose replies are lost.
    pub lose_replies: u32,
    /// Number of upcoming table writes that are lost before they take effect.
    pub lose_writes: u32,
}

/// Counters of the calls received.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Number of table reads.
    pub table_reads: u64,
    /// Number of table writes, lost ones included.
    pub table_writes: u64,
    /// Number of objects written.
    pub object_puts: u64,
    /// Total size of the objects written.
    pub object_bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: Vec<HostEntry>,
    faults: Faults,
    usage: Usage,
}

/// Platform whose table, objects and host list are held in memory.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<State>,
}

impl MemoryStore {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.lock().hosts = hosts;
    }

    /// Returns the counters of the calls so far.
    #[must_use]
    pub fn usage(&self) -> Usage {
        self.lock().usage.clone()
    }

    /// Overwrites an object, bypassing faults and counters, to simulate tampering.
    pub fn overwrite(&self, key: &str, content: Vec<u8>) {
        self.lock().objects.insert(key.to_owned(), content);
    }

    /// Removes an object, bypassing faults and counters, to simulate tampering.
    pub fn remove(&self, key: &str) {
        self.lock().objects.remove(key);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the injected delay and outage, then locks the state.
    fn begin_call(&self) -> Result<MutexGuard<'_, State>, StoreError> {
        let delay_ms = self.lock().faults.delay_ms;
        thread::sleep(Duration::from_millis(delay_ms));
        let state = self.lock();
        if state.faults.down {
            return Err(StoreError::Unavailable("injected outage".into()));
        }
        Ok(state)
    }

    fn write<T>(&self, apply: impl FnOnce(&mut State) -> T) -> Result<T, StoreError> {
        let mut state = self.begin_call()?;
        state.usage.table_writes += 1;
        if state.faults.lose_writes > 0 {
            state.faults.lose_writes -= 1;
            return Err(StoreError::ReplyLost("injected loss of the write".into()));
        }
        let result = apply(&mut state);
        if state.faults.lose_replies > 0 {
            state.faults.lose_replies -= 1;
            return Err(StoreError::ReplyLost("injected loss of the reply".into()));
        }
        Ok(result)
    }
}

impl State {
    fn insert(&mut self, insert: Insert) -> Inserted {
        if let Some(row) = self.rows.get(&insert.key) {
            return Inserted::Exists(row.clone());
        }
        let row = Row {
            version: 1,
            value: insert.value,
        };
        self.rows.insert(insert.key, row);
        Inserted::Done
    }

    fn replace(&mut self, replace: Replace) -> Replaced {
        match self.rows.get_mut(&replace.key) {
            Some(row) if row.version == replace.expected_version => {
                row.version += 1;
                row.value = replace.value;
                Replaced::Done(row.version)
            }
            other => Replaced::Conflict(other.map(|row| row.clone())),
        }
    }

    fn transact(&mut self, writes: Vec<Write>) -> bool {
        let can_apply = writes.iter().all(|write| match write {
            Write::Insert(insert) => !self.rows.contains_key(&insert.key),
            Write::Replace(replace) => self
                .rows
                .get(&replace.key)
                .is_some_and(|row| row.version == replace.expected_version),
        });
        if can_apply {
            for write in writes {
                match write {
                    Write::Insert(insert) => drop(self.insert(insert)),
                    Write::Replace(replace) => drop(self.replace(replace)),
                }
            }
        }
        can_apply
    }
}

impl Table for MemoryStore {
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        let mut state = self.begin_call()?;
        state.usage.table_reads += 1;
        Ok(state.rows.get(key).cloned())
    }

    fn insert(&self, insert: Insert) -> Result<Inserted, StoreError> {
        self.write(|state| state.insert(insert))
    }

    fn replace(&self, replace: Replace) -> Result<Replaced, StoreError> {
        self.write(|state| state.replace(replace))
    }

    fn transact(&self, writes: Vec<Write>) -> Result<bool, StoreError> {
        self.write(|state| state.transact(writes))
    }
}

impl ObjectStore for MemoryStore {
    fn put(&self, key: &str, content: &[u8]) -> Result<(), StoreError> {
        let mut state = self.begin_call()?;
        state.usage.object_puts += 1;
        state.usage.object_bytes += content.len() as u64;
        state.objects.insert(key.to_owned(), content.to_vec());
        Ok(())
    }

    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        Ok(self.begin_call()?.objects.get(key).cloned())
    }

    fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        let state = self.begin_call()?;
        Ok(state
            .objects
            .range(prefix.to_owned()..)
            .map(|(key, _)| key)
            .take_while(|key| key.starts_with(prefix))
            .cloned()
            .collect())
    }
}

impl HostList for MemoryStore {
    fn hosts(&self) -> Result<Vec<HostEntry>, StoreError> {
        Ok(self.begin_call()?.hosts.clone())
    }
}
