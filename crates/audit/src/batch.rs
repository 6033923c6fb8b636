//! Stored form of a batch of records.

use {
    crate::AuditRecord,
    serde::{Deserialize, Serialize},
};

/// Key for the digests of the audit chain.
pub type AuditKey = [u8; 32];

/// Derives the key of the audit chain from the fleet's key.
#[must_use]
pub fn audit_key(fleet_key: &[u8; 32]) -> AuditKey {
    blake3::derive_key("baobablug 2026 audit chain", fleet_key)
}

/// Records of one host's run, written together as one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the host that wrote the batch.
    pub host: String,
    /// Incarnation of the host; a new one for each start.
    pub incarnation: u64,
    /// Sequence number of the batch in its chain, from zero.
    pub number: u64,
    /// Digest of the previous batch; empty for the first.
    pub previous: String,
    /// Records dropped since the previous batch, because the store was down for too long.
    pub dropped: u64,
    /// Whether the host ended its chain with this batch at a planned stop.
    pub closing: bool,
    /// Records in the order in which they were added.
    pub entries: Vec<AuditRecord>,
}

impl Batch {
    /// Returns the key of the batch in the object store.
    #[must_use]
    pub fn object_key(&self) -> String {
        format!(
            "audit/{}/{:020}/{:010}",
            self.host, self.incarnation, self.number
        )
    }

    /// Encodes the batch as a line with its digest, followed by its JSON.
    #[must_use]
    pub fn encode(&self, key: &AuditKey) -> Vec<u8> {
        let json = serde_json::to_string(self).unwrap_or_default();
        format!("{}\n{json}\n", batch_digest(key, &json)).into_bytes()
    }

    /// Decodes a batch and returns it with its digest, or `None` if it was altered or cut short.
    #[must_use]
    pub fn decode(key: &AuditKey, bytes: &[u8]) -> Option<(Self, String)> {
        let text = std::str::from_utf8(bytes).ok()?;
        let (stored_digest, json) = text.split_once('\n')?;
        let json = json.trim_end();
        let computed_digest = batch_digest(key, json);
        if stored_digest != computed_digest {
            return None;
        }
        Some((serde_json::from_str(json).ok()?, computed_digest))
    }
}

/// Returns the keyed digest of a batch's JSON.
pub fn batch_digest(key: &AuditKey, json: &str) -> String {
    blake3::keyed_hash(key, json.as_bytes())
        .to_hex()
        .to_string()
}
