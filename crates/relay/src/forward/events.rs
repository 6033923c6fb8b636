//! Splits a server-sent event stream into events.

use bytes::{Bytes, BytesMut};

const SEPARATOR: &[u8] = b"\n\n";
/// Maximum length of an event. A server that sends more bytes without the end of an event is faulty.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Buffers partial events, and drops events that the caller already has.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    /// Length of the beginning of `partial` that contains no separator.
    scanned: usize,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter of a stream whose caller has the events up to `last_id`.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Appends data and returns the events that it completes.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let mut complete = BytesMut::new();
        while let Some(offset) = find(&self.partial[self.scanned..], SEPARATOR) {
            let event = self
                .partial
                .split_to(self.scanned + offset + SEPARATOR.len());
            self.scanned = 0;
            if self.is_new(&event) {
                complete.extend_from_slice(&event);
            }
        }
        self.scanned = self.partial.len().saturating_sub(SEPARATOR.len() - 1);
        complete.freeze()
    }

    /// Whether the partial event exceeds the maximum length.
    #[must_use]
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the id of the last event that the caller has.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the data so far ends with a complete event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Drops a partial event, since the stream resumes at another server.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.scanned = 0;
    }

    fn is_new(&mut self, event: &[u8]) -> bool {
        let Some(id) = event_id(event) else {
            return true;
        };
        if self.last_id.is_some_and(|last| id <= last) {
            return false;
        }
        self.last_id = Some(id);
        true
    }
}

/// Whether data holds the end of an event.
#[must_use]
pub fn has_event(data: &[u8]) -> bool {
    find(data, SEPARATOR).is_some()
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find(|line| line.starts_with("id:"))?;
    line["id:".len()..].trim().parse().ok()
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}
