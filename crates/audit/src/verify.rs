//! Verification of stored chains.

use {
    crate::{AuditKey, Batch, Entry},
    baobab_store::{Objects, StoreError},
    std::fmt,
};

/// Something wrong with a chain, and where.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AuditFinding {
    /// Key of the object.
    pub object: String,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for AuditFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.object, self.message)
    }
}

/// What a verification found.
#[derive(Debug, Default)]
pub struct AuditReport {
    /// Batches read.
    pub batches: u64,
    /// Records that hosts said they had to drop.
    pub dropped: u64,
    /// Chains without a closing batch: their hosts crashed or still run.
    pub open_chains: Vec<String>,
    /// Findings.
    pub findings: Vec<AuditFinding>,
    /// All records, in the order of their objects.
    pub entries: Vec<Entry>,
}

#[derive(Debug, Default)]
struct Chain {
    name: String,
    next: u64,
    previous: String,
    closed: bool,
}

/// Reads and verifies every chain below a prefix such as `audit/`.
///
/// # Errors
///
/// Fails where the object store gives no answer.
pub fn verify(
    objects: &dyn Objects,
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
        report.add(&mut chain, key, &object, &bytes);
    }
    report.end_chain(&chain);
    Ok(report)
}

impl AuditReport {
    fn add(&mut self, chain: &mut Chain, key: &AuditKey, object: &str, bytes: &[u8]) {
        self.batches += 1;
        let Some((batch, digest)) = Batch::decode(key, bytes) else {
            self.find(object, "the batch was altered or is cut short");
            chain.next += 1;
            chain.previous.clear();
            return;
        };
        if batch.object_key() != object {
            self.find(object, "the batch belongs under another key");
        }
        if batch.number != chain.next {
            self.find(
                object,
                &format!("batch {} is missing before it", chain.next),
            );
        } else if !chain.previous.is_empty() && batch.previous != chain.previous {
            self.find(object, "it does not follow the batch before it");
        }
        chain.next = batch.number + 1;
        chain.previous = digest;
        chain.closed = batch.closing;
        self.dropped += batch.dropped;
        self.entries.extend(batch.entries);
    }

    fn find(&mut self, object: &str, message: &str) {
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
