//! Which version began one stream.

use {crate::VersionOf, std::time::Duration};

/// Key of a stream: derived from the id of the request that brought its first event.
pub type StreamKey = u64;

/// What is known of the begin of one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Key of the stream.
    pub stream: StreamKey,
    /// Service and version that began it; none if its server may have been another version than it
    /// announced.
    pub version: Option<VersionOf>,
    /// Short form of the id of the server that began it.
    pub server: u32,
}

/// A note, as this router keeps it.
#[derive(Debug)]
pub(crate) struct Kept {
    pub(crate) note: Note,
    /// When the stream began or was last taken up, or when the note was received.
    pub(crate) at: Duration,
}
