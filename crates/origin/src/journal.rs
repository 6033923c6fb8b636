//! Notes to be written to the store, in rows that replace the oldest ones.

use {
    crate::{Note, RecordRow},
    std::time::Duration,
};

/// Maximum number of notes in a row: a row holds at most 64 KiB, a note takes up to 18 bytes.
pub const MAX_NOTES_PER_ROW: usize = 2_000;
/// Time after which a row is not added to any more.
const ROW_TIME: Duration = Duration::from_secs(2);

/// The row that is being filled.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    number: u64,
    notes: Vec<Note>,
    begun_at: Duration,
    is_changed: bool,
}

impl Journal {
    /// Goes on after a row that this host wrote in an earlier run.
    pub(crate) fn on_earlier_row(&mut self, number: u64) {
        self.number = self.number.max(number + 1);
    }

    /// Adds a note.
    pub(crate) fn add(&mut self, note: Note, now: Duration) {
        if self.notes.is_empty() {
            self.begun_at = now;
        }
        self.notes.push(note);
        self.is_changed = true;
    }

    /// Returns the row to write, if it has changed since the last call.
    pub(crate) fn take_changed(&mut self) -> Option<RecordRow> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        Some(RecordRow::Notes {
            number: self.number,
            notes: self.notes.iter().take(MAX_NOTES_PER_ROW).cloned().collect(),
        })
    }

    /// Records that a row was written. A full or old one is followed by the next.
    pub(crate) fn on_written(&mut self, count: usize, now: Duration) {
        let is_full = count >= MAX_NOTES_PER_ROW;
        if is_full || now.saturating_sub(self.begun_at) >= ROW_TIME {
            self.notes.drain(..count.min(self.notes.len()));
            self.number += 1;
            self.begun_at = now;
            self.is_changed = !self.notes.is_empty();
        }
    }

    /// Records that a row may not have been written. Its notes are written to the next one, which a late
    /// effect of the failed call does not overwrite.
    pub(crate) fn on_failed(&mut self) {
        self.number += 1;
        self.is_changed = true;
    }
}
