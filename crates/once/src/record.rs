//! The row that stands for one request.

use serde::{Deserialize, Serialize};

/// Largest answer body that is kept for later callers.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// A service's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// How far a request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// It may have been sent, by the holder of the token alone.
    Started,
    /// It was not sent and its holder never will send it.
    NotRun,
    /// It ran, and this was its answer.
    Answered(Answer),
    /// It ran; its answer was too large to keep.
    AnsweredUnkept,
}

/// The row's content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request's method, path and body, in hexadecimal.
    pub digest: String,
    /// The attempt that may send it.
    pub token: String,
    /// How far it has come.
    pub state: RecordState,
}

impl Record {
    /// Returns this record with the answer, as far as it can be kept.
    #[must_use]
    pub fn answered(&self, answer: &Answer) -> Self {
        let state = if answer.body.len() > MAX_KEPT_BYTES {
            RecordState::AnsweredUnkept
        } else {
            RecordState::Answered(answer.clone())
        };
        Self {
            state,
            ..self.clone()
        }
    }

    /// Encodes the record as a row's text.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a row's text.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
