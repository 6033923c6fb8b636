//! The row that says which configuration is in force.

use serde::{Deserialize, Serialize};

/// Content of the head row. The row's version is the configuration's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Digest of the content in the object store.
    pub digest: String,
    /// Who applied it.
    pub applied_by: String,
    /// Milliseconds since the Unix epoch, by the operator's clock.
    pub applied_at_ms: u64,
}

impl Head {
    /// Key of the head row.
    pub const ROW_KEY: &str = "config/head";

    /// Encodes the head as the row's text.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes the row's text.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}

/// Returns the object that holds the configuration with this digest.
#[must_use]
pub fn object_key(digest: &str) -> String {
    format!("config/{digest}")
}
