//! Splits a server-sent event stream into events.

use {
    super::kept::{KeptBytes, KeptMemory},
    bytes::Bytes,
};

const SEPARATOR: &[u8] = b"\n\n";
/// Maximum length of an event. A server that sends more bytes without the end of an event is faulty.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Keeps partial events, and drops events that the caller already has.
#[derive(Debug)]
pub struct EventSplitter {
    memory: KeptMemory,
    partial: KeptBytes,
    /// Length of the beginning of `partial` that contains no separator.
    scanned: usize,
    last_id: Option<u64>,
    /// Beginning of the event that is no longer kept.
    cut: Option<Cut>,
}

/// The beginning of an event that could not be kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Cut {
    bytes: usize,
    /// Whether it was passed on; the caller had it otherwise.
    is_passed_on: bool,
}

impl EventSplitter {
    /// Creates a splitter of a stream whose caller has the events up to `last_id`, which keeps partial events in
    /// `memory`.
    #[must_use]
    pub fn after(last_id: Option<u64>, memory: &KeptMemory) -> Self {
        Self {
            memory: memory.clone(),
            partial: KeptBytes::new(memory),
            scanned: 0,
            last_id,
            cut: None,
        }
    }

    /// Appends data and returns the events that it completes, and what cannot be kept of the next one.
    pub fn push(&mut self, data: &[u8]) -> Bytes {
        self.partial.push(data);
        let mut forwarded = KeptBytes::new(&self.memory);
        let mut begin = 0;
        while let Some(offset) = find(&self.partial[self.scanned..], SEPARATOR) {
            let end = self.scanned + offset + SEPARATOR.len();
            let event = &self.partial[begin..end];
            let is_forwarded = match self.cut.take() {
                Some(cut) => cut.is_passed_on,
                None => event_id(event).is_none_or(|id| is_new(&mut self.last_id, id)),
            };
            if is_forwarded {
                forwarded.push(event);
            }
            begin = end;
            self.scanned = end;
        }
        self.partial.drop_front(begin);
        if !self.partial.is_within_share() {
            self.cut(&mut forwarded);
        }
        self.scanned = self.partial.len().saturating_sub(SEPARATOR.len() - 1);
        forwarded.take()
    }

    /// Passes on what has come of an event that cannot be kept, unless the caller already has it. Without its
    /// id, that is not known, and the event stays.
    fn cut(&mut self, forwarded: &mut KeptBytes) {
        let cut = self.cut.or_else(|| {
            let id = event_id(complete_lines(&self.partial))?;
            Some(Cut {
                bytes: 0,
                is_passed_on: is_new(&mut self.last_id, id),
            })
        });
        let Some(mut cut) = cut else {
            return;
        };
        // The last byte may begin the separator.
        let length = self.partial.len() - (SEPARATOR.len() - 1);
        if cut.is_passed_on {
            forwarded.push(&self.partial[..length]);
        }
        self.partial.drop_front(length);
        cut.bytes += length;
        self.cut = Some(cut);
    }

    /// Returns the length of the present event so far.
    #[must_use]
    pub fn event_bytes(&self) -> usize {
        self.partial.len() + self.cut.map_or(0, |cut| cut.bytes)
    }

    /// Whether the present event exceeds the share of the memory and cannot be passed on in parts.
    #[must_use]
    pub fn is_beyond_share(&self) -> bool {
        !self.partial.is_within_share()
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

    /// Whether the caller has a part of the present event.
    #[must_use]
    pub fn is_passed_on_in_part(&self) -> bool {
        self.cut.is_some_and(|cut| cut.is_passed_on)
    }

    /// Drops a partial event, since the stream resumes at another server.
    pub fn discard_partial(&mut self) {
        self.partial = KeptBytes::new(&self.memory);
        self.scanned = 0;
        self.cut = None;
    }
}

/// Whether data holds the end of an event.
#[must_use]
pub fn has_event(data: &[u8]) -> bool {
    find(data, SEPARATOR).is_some()
}

fn is_new(last_id: &mut Option<u64>, id: u64) -> bool {
    if last_id.is_some_and(|last| id <= last) {
        return false;
    }
    *last_id = Some(id);
    true
}

fn complete_lines(data: &[u8]) -> &[u8] {
    let end = data.iter().rposition(|byte| *byte == b'\n');
    end.map_or(&[], |end| &data[..end])
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
