//! Where the events of a streamed response begin and end.

use {super::events::EventSplitter, bytes::Bytes};

/// How the data of a streamed response is passed on.
#[derive(Debug)]
pub enum EventFraming {
    /// As it arrives; it is no stream of events.
    Opaque,
    /// As it arrives.
    Unsplit(UnsplitEvents),
    /// In whole events, so that another server may go on with the stream.
    Split(EventSplitter),
}

/// Events that are passed on as their data arrives.
#[derive(Debug)]
pub struct UnsplitEvents {
    last_bytes: [u8; 2],
    /// Bytes since the last event that ended within one frame.
    event_bytes: usize,
}

impl Default for UnsplitEvents {
    fn default() -> Self {
        Self {
            last_bytes: [b'\n'; 2],
            event_bytes: 0,
        }
    }
}

impl EventFraming {
    /// Takes data and returns what is to be passed on.
    pub fn push(&mut self, data: Bytes) -> Bytes {
        match self {
            Self::Opaque => data,
            Self::Unsplit(events) => {
                events.on_data(&data);
                data
            }
            Self::Split(splitter) => splitter.push(&data),
        }
    }

    /// Returns the length of the present event so far.
    #[must_use]
    pub fn event_bytes(&self) -> usize {
        match self {
            Self::Opaque => 0,
            Self::Unsplit(events) => events.event_bytes,
            Self::Split(splitter) => splitter.event_bytes(),
        }
    }

    /// Whether the present event exceeds the share of the memory and cannot be passed on in parts.
    #[must_use]
    pub fn is_beyond_share(&self) -> bool {
        matches!(self, Self::Split(splitter) if splitter.is_beyond_share())
    }

    /// Whether the data so far ends with a complete event, if it is a stream of events.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        match self {
            Self::Opaque => true,
            Self::Unsplit(events) => events.last_bytes == *b"\n\n",
            Self::Split(splitter) => splitter.is_at_boundary(),
        }
    }

    /// Whether another server may go on with the stream: the caller has no part of an event.
    #[must_use]
    pub fn may_go_on(&self) -> bool {
        matches!(self, Self::Split(splitter) if !splitter.is_passed_on_in_part())
    }

    /// Whether the caller has a part of the present event of a stream that is split.
    #[must_use]
    pub fn is_passed_on_in_part(&self) -> bool {
        matches!(self, Self::Split(splitter) if splitter.is_passed_on_in_part())
    }

    /// Returns the id of the last event that the caller has.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        match self {
            Self::Split(splitter) => splitter.last_id(),
            Self::Opaque | Self::Unsplit(_) => None,
        }
    }

    /// Drops a partial event, since the stream resumes at another server.
    pub fn discard_partial(&mut self) {
        if let Self::Split(splitter) = self {
            splitter.discard_partial();
        }
    }
}

impl UnsplitEvents {
    fn on_data(&mut self, data: &[u8]) {
        match data.windows(2).rposition(|bytes| bytes == b"\n\n") {
            Some(offset) => self.event_bytes = data.len() - offset - 2,
            None => self.event_bytes += data.len(),
        }
        for byte in &data[data.len().saturating_sub(2)..] {
            self.last_bytes = [self.last_bytes[1], *byte];
        }
    }
}
