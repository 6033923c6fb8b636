//! Changes of the store's tables that this router publishes to the others.

use {
    baobab_watch::{Change, Era, Revision, TableDelta},
    std::{collections::VecDeque, time::Duration},
};

/// How long each change is published: several datagrams at any size of the fleet.
const PUBLISH_PERIOD: Duration = Duration::from_millis(1200);
/// Bytes of changes that fit one datagram. Larger deltas are left out, and the other routers read
/// the store.
const MAX_DELTA_BYTES: usize = 1000;
/// Encoded bytes of a change besides its key and content.
const CHANGE_OVERHEAD_BYTES: usize = 8;

#[derive(Debug)]
struct Batch {
    delta: TableDelta,
    read_at: Duration,
}

/// Recent changes of one table.
#[derive(Debug, Default)]
pub struct Outbox {
    batches: VecDeque<Batch>,
    era: Era,
    revision: Option<Revision>,
}

impl Outbox {
    /// Adds the changes of one read of the store, made at `now`. Changes that it does not continue are
    /// dropped: after a listing, what was changed before it is not known, and the other routers read
    /// the store.
    pub fn put(&mut self, delta: TableDelta, now: Duration) {
        let is_continued = delta.era == self.era && self.revision == Some(delta.since);
        if !is_continued {
            self.batches.clear();
        }
        self.era = delta.era;
        self.revision = Some(delta.revision);
        if !delta.changes.is_empty() {
            self.batches.push_back(Batch {
                delta,
                read_at: now,
            });
        }
    }

    /// Drops everything, because the store cannot be read.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.revision = None;
    }

    /// Returns the delta to publish now: all recent changes, or only the revision that this router
    /// has read if they are too large. Returns none before the first read.
    pub fn take(&mut self, now: Duration) -> Option<TableDelta> {
        let revision = self.revision?;
        while let Some(batch) = self.batches.front()
            && now.saturating_sub(batch.read_at) > PUBLISH_PERIOD
        {
            self.batches.pop_front();
        }
        let bytes: usize = self
            .batches
            .iter()
            .flat_map(|batch| &batch.delta.changes)
            .map(encoded_size)
            .sum();
        let since = match self.batches.front() {
            Some(batch) if bytes <= MAX_DELTA_BYTES => batch.delta.since,
            _ => {
                return Some(TableDelta {
                    era: self.era,
                    since: revision,
                    revision,
                    changes: Vec::new(),
                });
            }
        };
        let changes = self.batches.iter().flat_map(|batch| &batch.delta.changes);
        Some(TableDelta {
            era: self.era,
            since,
            revision,
            changes: changes.cloned().collect(),
        })
    }
}

fn encoded_size(change: &Change) -> usize {
    let content = match change {
        Change::Written(row) => row.key.len() + row.content.len(),
        Change::Removed(key) => key.len(),
    };
    content + CHANGE_OVERHEAD_BYTES
}
