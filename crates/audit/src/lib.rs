//! Tamper-evident audit log: batches of records in the object store, chained by keyed digests.

mod batch;
mod journal;
mod record;
mod verify;

pub use {
    batch::{AuditKey, Batch, audit_key},
    journal::{Journal, JournalStatus},
    record::{AuditRecord, Decision},
    verify::{AuditFinding, AuditReport, verify},
};
