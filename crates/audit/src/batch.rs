//! A batch of records, as stored.

use {
    crate::Entry,
    serde::{Deserialize, Serialize},
};

/// Key of the chain's digests.
pub type AuditKey = [u8; 32];

/// Derives the key of the audit chain from the fleet's key.
#[must_use]
pub fn audit_key(fleet_key: &[u8; 32]) -> AuditKey {
    blake3::derive_key("baobablug 2026 audit chain", fleet_key)
}

/// The records of one host's run between two writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Host name.
    pub host: String,
    /// Run of the host.
    pub incarnation: u64,
    /// Number of the batch, from zero.
    pub number: u64,
    /// Digest of the batch before; empty for the first.
    pub previous: String,
    /// Records dropped since the batch before, because the store was down for too long.
    pub dropped: u64,
    /// Whether this is the last batch of a planned stop.
    pub closing: bool,
    /// The records.
    pub entries: Vec<Entry>,
}

impl Batch {
    /// Returns the key that the batch is stored under.
    #[must_use]
    pub fn object_key(&self) -> String {
        format!(
            "audit/{}/{:020}/{:010}",
            self.host, self.incarnation, self.number
        )
    }

    /// Encodes the batch: a line with its digest, then its JSON.
    #[must_use]
    pub fn encode(&self, key: &AuditKey) -> Vec<u8> {
        let json = serde_json::to_string(self).unwrap_or_default();
        format!("{}\n{json}\n", digest(key, &json)).into_bytes()
    }

    /// Decodes a batch and returns it with its digest. `None` means that it was altered.
    #[must_use]
    pub fn decode(key: &AuditKey, bytes: &[u8]) -> Option<(Self, String)> {
        let text = std::str::from_utf8(bytes).ok()?;
        let (stated, json) = text.split_once('\n')?;
        let json = json.trim_end();
        let expected = digest(key, json);
        if stated != expected {
            return None;
        }
        Some((serde_json::from_str(json).ok()?, expected))
    }
}

/// Returns the keyed digest of a batch's JSON.
pub fn digest(key: &AuditKey, json: &str) -> String {
    blake3::keyed_hash(key, json.as_bytes())
        .to_hex()
        .to_string()
}
