//! Content of the table row that tracks one request.

use serde::{Deserialize, Serialize};

/// Largest response body that is stored for later callers.
const MAX_STORED_BODY_BYTES: usize = 64 * 1024;

/// Response of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: String,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Progress of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// May have been sent, and only by the attempt whose token is in the record.
    Started,
    /// Was not sent; the attempt that recorded it will not send it.
    NotRun,
    /// Executed with this response.
    Answered(ServiceResponse),
    /// Executed; the response was too large to store.
    AnsweredUnkept,
}

/// Row content, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Hexadecimal digest of the request's method, path and body.
    pub digest: String,
    /// Token of the only attempt that may send the request.
    pub token: String,
    /// Progress of the request.
    pub state: RecordState,
}

impl Record {
    /// Returns this record completed with `response`; a body over 64 KiB is not stored.
    #[must_use]
    pub fn with_response(&self, response: &ServiceResponse) -> Self {
        let state = if response.body.len() > MAX_STORED_BODY_BYTES {
            RecordState::AnsweredUnkept
        } else {
            RecordState::Answered(response.clone())
        };
        Self {
            state,
            ..self.clone()
        }
    }

    /// Encodes the record as JSON for the row.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a row; `None` if its text is not a record.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
