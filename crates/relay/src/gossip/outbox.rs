//! What this router tells the others of the store's tables.

use {
    baobab_watch::{Change, Revision, TableDelta},
    std::{collections::VecDeque, time::Duration},
};

/// Time for which changes are told again and again: several datagrams at any size of the fleet.
const TELLING: Duration = Duration::from_millis(1200);
/// Bytes of changes that one datagram tells. Others are left out, and the routers ask the store.
const MOST_BYTES: usize = 1000;
/// Bytes of a change besides its key and content.
const CHANGE_BYTES: usize = 8;

#[derive(Debug)]
struct Batch {
    delta: TableDelta,
    read_at: Duration,
}

/// Newest changes of one table.
#[derive(Debug, Default)]
pub struct Outbox {
    batches: VecDeque<Batch>,
    revision: Option<Revision>,
}

impl Outbox {
    /// Takes in what was read.
    pub fn put(&mut self, delta: TableDelta, now: Duration) {
        self.revision = Some(delta.revision);
        if !delta.changes.is_empty() {
            self.batches.push_back(Batch {
                delta,
                read_at: now,
            });
        }
    }

    /// Drops everything, because the store is out of reach.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.revision = None;
    }

    /// Returns what to tell now: the changes of the last moments that fit, or at least how far
    /// this router has read.
    pub fn take(&mut self, now: Duration) -> Option<TableDelta> {
        let revision = self.revision?;
        while let Some(batch) = self.batches.front()
            && now.saturating_sub(batch.read_at) > TELLING
        {
            self.batches.pop_front();
        }
        let bytes: usize = self
            .batches
            .iter()
            .flat_map(|batch| &batch.delta.changes)
            .map(size)
            .sum();
        let since = match self.batches.front() {
            Some(batch) if bytes <= MOST_BYTES => batch.delta.since,
            _ => {
                return Some(TableDelta {
                    since: revision,
                    revision,
                    changes: Vec::new(),
                });
            }
        };
        let changes = self.batches.iter().flat_map(|batch| &batch.delta.changes);
        Some(TableDelta {
            since,
            revision,
            changes: changes.cloned().collect(),
        })
    }
}

fn size(change: &Change) -> usize {
    let content = match change {
        Change::Written(row) => row.key.len() + row.content.len(),
        Change::Removed(key) => key.len(),
    };
    content + CHANGE_BYTES
}
