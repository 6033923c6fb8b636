//! Collects audit records and writes them in batches.

use {
    crate::{AuditKey, AuditRecord, Batch, Decision, batch::batch_digest},
    baobab_store::{ObjectStore, StoreError},
    baobab_unit::to_u64,
};

/// Records buffered while the store is down; further ones are dropped and counted.
const MAX_PENDING_RECORDS: usize = 20_000;
/// Maximum number of records in a batch.
const MAX_BATCH_RECORDS: usize = 5_000;

/// Counters of a journal.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JournalStatus {
    /// Records not yet confirmed as written.
    pub pending: u64,
    /// Records dropped since the journal was opened.
    pub dropped: u64,
    /// Batches written since the journal was opened.
    pub batches: u64,
    /// Bytes written since the journal was opened.
    pub bytes: u64,
}

/// Audit records of one run of a host.
#[derive(Debug)]
pub struct Journal {
    key: AuditKey,
    host: String,
    incarnation: u64,
    next_number: u64,
    previous_digest: String,
    pending: Vec<AuditRecord>,
    dropped_since_batch: u64,
    unconfirmed: Option<Batch>,
    status: JournalStatus,
}

impl Journal {
    /// Opens the journal of one run of `host`; `incarnation` identifies the run.
    #[must_use]
    pub fn open(key: AuditKey, host: &str, incarnation: u64) -> Self {
        Self {
            key,
            host: host.to_owned(),
            incarnation,
            next_number: 0,
            previous_digest: String::new(),
            pending: Vec::new(),
            dropped_since_batch: 0,
            unconfirmed: None,
            status: JournalStatus::default(),
        }
    }

    /// Adds a record of a decision made at `at_ms` since the Unix epoch. If the buffer is full, the
    /// record is dropped.
    pub fn add(&mut self, at_ms: u64, decision: Decision) {
        if self.pending.len() >= MAX_PENDING_RECORDS {
            self.dropped_since_batch += 1;
            self.status.dropped += 1;
            return;
        }
        self.pending.push(AuditRecord { at_ms, decision });
    }

    /// Writes the pending records; `closing` then ends the chain with a closing batch.
    ///
    /// A batch whose write failed is retried unchanged: the failed write may have taken effect,
    /// and a batch number must never have two contents.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm a write; the records stay pending.
    pub fn flush(&mut self, objects: &dyn ObjectStore, closing: bool) -> Result<(), StoreError> {
        if let Some(batch) = self.unconfirmed.take() {
            self.write(objects, batch)?;
        }
        while !self.pending.is_empty() || self.dropped_since_batch > 0 {
            let batch = self.next_batch(false);
            self.write(objects, batch)?;
        }
        if closing {
            let batch = self.next_batch(true);
            self.write(objects, batch)?;
        }
        Ok(())
    }

    /// Returns the current counters.
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
        let count = self.pending.len().min(MAX_BATCH_RECORDS);
        Batch {
            host: self.host.clone(),
            incarnation: self.incarnation,
            number: self.next_number,
            previous: self.previous_digest.clone(),
            dropped: std::mem::take(&mut self.dropped_since_batch),
            closing,
            entries: self.pending.drain(..count).collect(),
        }
    }

    fn write(&mut self, objects: &dyn ObjectStore, batch: Batch) -> Result<(), StoreError> {
        let bytes = batch.encode(&self.key);
        if let Err(error) = objects.put(&batch.object_key(), &bytes) {
            self.unconfirmed = Some(batch);
            return Err(error);
        }
        let json = serde_json::to_string(&batch).unwrap_or_default();
        self.previous_digest = batch_digest(&self.key, &json);
        self.next_number += 1;
        self.status.batches += 1;
        self.status.bytes += to_u64(bytes.len());
        Ok(())
    }
}
