//! Verification of the stored audit chains.

use {
    crate::{AuditKey, AuditRecord, Batch},
    baobab_store::{ObjectStore, StoreError},
    std::fmt,
};

/// A defect of a chain and the object in which it was found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditFinding {
    /// Key in the object store.
    pub object: String,
    /// Description for operators.
    pub message: String,
}

impl fmt::Display for AuditFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.object, self.message)
    }
}

/// Result of a verification.
#[derive(Debug, Default)]
pub struct AuditReport {
    /// Number of batches read, including altered ones.
    pub batches: u64,
    /// Number of records that hosts reported as dropped.
    pub dropped: u64,
    /// Chains without a closing batch: their hosts crashed or are still running.
    pub open_chains: Vec<String>,
    /// Defects, in the order of their objects.
    pub findings: Vec<AuditFinding>,
    /// Records of all intact batches, in the order of their objects.
    pub records: Vec<AuditRecord>,
}

#[derive(Debug, Default)]
struct Chain {
    name: String,
    next_number: u64,
    previous_digest: String,
    closed: bool,
}

/// Reads and verifies every chain below a prefix such as `audit/`.
///
/// # Errors
///
/// Fails if the object store does not respond.
pub fn verify(
    objects: &dyn ObjectStore,
    key: &AuditKey,
    prefix: &str,
) -> Result<AuditReport, StoreError> {
    let mut report = AuditReport::default();
    let mut chain = Chain::default();
    for object in objects.list(prefix)? {
        let name = object.rsplit_once('/').map_or("", |(name, _)| name);
        if name != chain.name {
            report.end_chain(&chain);
            chain = Chain {
                name: name.to_owned(),
                ..Chain::default()
            };
        }
        let bytes = objects.get(&object)?.unwrap_or_default();
        report.add_batch(&mut chain, key, &object, &bytes);
    }
    report.end_chain(&chain);
    Ok(report)
}

impl AuditReport {
    fn add_batch(&mut self, chain: &mut Chain, key: &AuditKey, object: &str, bytes: &[u8]) {
        self.batches += 1;
        let Some((batch, digest)) = Batch::decode(key, bytes) else {
            self.add_finding(object, "the batch was altered or is cut short");
            chain.next_number += 1;
            chain.previous_digest.clear();
            return;
        };
        if batch.object_key() != object {
            self.add_finding(object, "the batch belongs under another key");
        }
        if batch.number != chain.next_number {
            self.add_finding(
                object,
                &format!("batch {} is missing before it", chain.next_number),
            );
        } else if !chain.previous_digest.is_empty() && batch.previous != chain.previous_digest {
            self.add_finding(object, "its digest of the previous batch does not match");
        }
        chain.next_number = batch.number + 1;
        chain.previous_digest = digest;
        chain.closed = batch.closing;
        self.dropped += batch.dropped;
        self.records.extend(batch.entries);
    }

    fn add_finding(&mut self, object: &str, message: &str) {
        self.findings.push(AuditFinding {
            object: object.to_owned(),
            message: message.to_owned(),
        });
    }

    fn end_chain(&mut self, chain: &Chain) {
        if !chain.name.is_empty() && !chain.closed {
            self.open_chains.push(chain.name.clone());
        }
    }
}
