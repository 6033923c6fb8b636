//! What the head of a streamed response says of its body.

use {
    super::buffering::outcome_of,
    baobab_place::ServerOutcome,
    http::{StatusCode, header::CONTENT_TYPE, response},
};

/// Status and media type of a streamed response. Only a response of the same kind can be the rest of
/// the stream; another one, such as an error's text, is not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamKind {
    status: StatusCode,
    media_type: Option<String>,
    outcome: ServerOutcome,
}

impl StreamKind {
    /// Whether the response is a success, and no failure's text.
    #[must_use]
    pub fn is_success(&self) -> bool {
        self.status.is_success()
    }

    /// Returns what the response says of its server once it is complete.
    #[must_use]
    pub fn outcome(&self) -> ServerOutcome {
        self.outcome
    }
}

impl From<&response::Parts> for StreamKind {
    fn from(head: &response::Parts) -> Self {
        let media_type = head
            .headers
            .get(CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.split(';').next())
            .map(|media_type| media_type.trim().to_ascii_lowercase());
        Self {
            status: head.status,
            media_type,
            outcome: outcome_of(head),
        }
    }
}
