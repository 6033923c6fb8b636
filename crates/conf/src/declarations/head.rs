//! The table row that points to the active configuration.

use serde::{Deserialize, Serialize};

/// Content of the head row. The row's version is the configuration's version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Hexadecimal digest of the content in the object store.
    pub digest: String,
    /// Name given by the operator who applied it.
    pub applied_by: String,
    /// Milliseconds since the Unix epoch, by the operator's clock.
    pub applied_at_ms: u64,
}

impl Head {
    /// Key of the head row.
    pub const ROW_KEY: &str = "config/head";

    /// Encodes the head as JSON for the row.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a row; `None` if its text is not a head.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}

/// Returns the object key of the configuration with this digest.
#[must_use]
pub fn object_key(digest: &str) -> String {
    format!("config/{digest}")
}
