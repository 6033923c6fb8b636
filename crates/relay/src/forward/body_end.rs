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
        let last_coding = head
            .headers
            .get_all(TRANSFER_ENCODING)
            .iter()
            .next_back()
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.rsplit(',').next())
            .map(str::trim);
        let is_chunked = last_coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        if has_length || is_chunked {
            Self::Declared
        } else {
            Self::ConnectionEnd
        }
    }
}
