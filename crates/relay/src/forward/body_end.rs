//! What ends the body of a response.

use {
    http::{header::TRANSFER_ENCODING, response},
    hyper::body::{Body, Incoming},
};

/// What ends the body of a response (RFC 9112, section 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// Its length, or its last chunk.
    Declared,
    /// The end of the connection, whatever closes it.
    ConnectionEnd,
}

impl BodyEnd {
    /// Returns what ends the body of a response with this head, as it was received.
    #[must_use]
    pub fn of(head: &response::Parts, body: &Incoming) -> Self {
        let has_length = body.size_hint().exact().is_some();
        if has_length || head.headers.contains_key(TRANSFER_ENCODING) {
            Self::Declared
        } else {
            Self::ConnectionEnd
        }
    }
}
