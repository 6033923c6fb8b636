//! A change of a server's limit, to be logged.

use crate::{LimitPerS, NoticeVersion, ServerKey};

/// A change of what this router knows of a server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The server.
    pub server: ServerKey,
    /// The limit until now.
    pub from_per_s: Option<LimitPerS>,
    /// The limit from now on.
    pub to_per_s: Option<LimitPerS>,
    /// Version of the notice.
    pub version: NoticeVersion,
}
