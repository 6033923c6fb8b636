//! Collects records and writes them in batches.

use {
    crate::{AuditKey, Batch, Decision, Entry, batch::digest},
    baobab_store::{Objects, StoreError},
    baobab_unit::to_u64,
};

/// Records kept while the store is down.
const MAX_PENDING: usize = 20_000;
/// Records in one batch.
const MAX_BATCH: usize = 5_000;

/// Figures of a journal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JournalStatus {
    /// Records waiting to be written.
    pub pending: u64,
    /// Records dropped ever.
    pub dropped: u64,
    /// Batches written.
    pub batches: u64,
    /// Bytes written.
    pub bytes: u64,
}

/// The records of one run of a host.
#[derive(Debug)]
pub struct Journal {
    key: AuditKey,
    host: String,
    incarnation: u64,
    number: u64,
    previous: String,
    pending: Vec<Entry>,
    dropped_since: u64,
    unconfirmed: Option<Batch>,
    status: JournalStatus,
}

impl Journal {
    /// Starts the journal of a host's run.
    #[must_use]
    pub fn open(key: AuditKey, host: &str, incarnation: u64) -> Self {
        Self {
            key,
            host: host.to_owned(),
            incarnation,
            number: 0,
            previous: String::new(),
            pending: Vec::new(),
            dropped_since: 0,
            unconfirmed: None,
            status: JournalStatus::default(),
        }
    }

    /// Adds a record; counts it as dropped where too many wait.
    pub fn add(&mut self, at_ms: u64, decision: Decision) {
        if self.pending.len() >= MAX_PENDING {
            self.dropped_since += 1;
            self.status.dropped += 1;
            return;
        }
        self.pending.push(Entry { at_ms, decision });
    }

    /// Writes the waiting records as one batch.
    ///
    /// A batch whose write failed is written again unchanged: the failed write may have taken
    /// effect, and a batch under one number must never have two contents.
    ///
    /// # Errors
    ///
    /// Fails where the store gives no answer; the records are kept.
    pub fn flush(&mut self, objects: &dyn Objects, closing: bool) -> Result<(), StoreError> {
        if let Some(batch) = self.unconfirmed.take() {
            self.write(objects, batch)?;
        }
        while !self.pending.is_empty() || self.dropped_since > 0 {
            let batch = self.next_batch(false);
            self.write(objects, batch)?;
        }
        if closing {
            let batch = self.next_batch(true);
            self.write(objects, batch)?;
        }
        Ok(())
    }

    /// Returns figures for operators.
    #[must_use]
    pub fn status(&self) -> JournalStatus {
        let unconfirmed = self
            .unconfirmed
            .as_ref()
            .map_or(0, |batch| batch.entries.len());
        JournalStatus {
            pending: to_u64(self.pending.len() + unconfirmed),
            ..self.status
        }
    }

    fn next_batch(&mut self, closing: bool) -> Batch {
        let count = self.pending.len().min(MAX_BATCH);
        Batch {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number: self.number,
            previous: self.previous.clone(),
            dropped: std::mem::take(&mut self.dropped_since),
            closing,
            entries: self.pending.drain(..count).collect(),
        }
    }

    fn write(&mut self, objects: &dyn Objects, batch: Batch) -> Result<(), StoreError> {
        let bytes = batch.encode(&self.key);
        if let Err(error) = objects.put(&batch.object_key(), &bytes) {
            self.unconfirmed = Some(batch);
            return Err(error);
        }
        let json = serde_json::to_string(&batch).unwrap_or_default();
        self.previous = digest(&self.key, &json);
        self.number += 1;
        self.status.batches += 1;
        self.status.bytes += to_u64(bytes.len());
        Ok(())
    }
}
