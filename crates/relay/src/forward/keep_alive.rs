//! Whether a server keeps a connection open after its response.

use {
    http::{Version, header::CONNECTION, response},
    std::time::Duration,
};

/// Whether the connection can be reused after the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepAlive {
    /// The server closes it.
    Close,
    /// It can be reused, within the idle timeout that the server announced, if any.
    Reuse(Option<Duration>),
}

impl From<&response::Parts> for KeepAlive {
    fn from(head: &response::Parts) -> Self {
        let is_kept = || connection_has(head, "keep-alive");
        if connection_has(head, "close") || (head.version == Version::HTTP_10 && !is_kept()) {
            return Self::Close;
        }
        let idle_timeout = head
            .headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.split("timeout=").nth(1))
            .and_then(|value| value.split(',').next())
            .and_then(|value| value.trim().parse().ok())
            .map(Duration::from_secs);
        Self::Reuse(idle_timeout)
    }
}

fn connection_has(head: &response::Parts, option: &str) -> bool {
    head.headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains(option))
}
