//! Splits a stream into whole events.

use bytes::{Bytes, BytesMut};

/// Bytes that end an event.
const SEPARATOR: &[u8] = b"\n\n";

/// Whole events of a stream, without those that the caller already has.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Takes data in and returns the whole events that it completes.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.extend_from_slice(data);
        let mut whole = BytesMut::new();
        while let Some(length) = find(&self.partial, SEPARATOR) {
            let event = self.partial.split_to(length + SEPARATOR.len());
            if self.is_next(&event) {
                whole.extend_from_slice(&event);
            }
        }
        whole.freeze()
    }

    /// Returns the id of the last event that was returned.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Tells whether the data so far ends with a whole event.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Forgets an unfinished event, since the stream goes on elsewhere.
    pub fn restart(&mut self) {
        self.partial.clear();
    }

    fn is_next(&mut self, event: &[u8]) -> bool {
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

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let line = text.lines().find(|line| line.starts_with("id:"))?;
    line["id:".len()..].trim().parse().ok()
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
