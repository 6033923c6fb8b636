//! State shared by the traffic thread and the control thread.

use {
    crate::shared_tables::SharedTables,
    baobab_origin::Write,
    baobab_watch::{Freshness, StoreClock},
    flume::{Receiver, Sender},
    std::sync::Arc,
};

/// Call that the traffic thread asks the control thread to make, for the records of streams.
#[derive(Debug)]
pub enum RecordCall {
    /// Reads all rows.
    Read,
    /// Writes and removes rows.
    Write(Write),
}

/// Queue of calls to the control thread. The traffic thread waits for each result before it makes the next
/// call, so that it stays short.
#[derive(Debug, Clone)]
pub struct RecordCalls {
    sender: Sender<RecordCall>,
    /// Calls to be made.
    pub receiver: Receiver<RecordCall>,
}

impl Default for RecordCalls {
    fn default() -> Self {
        let (sender, receiver) = flume::unbounded();
        Self { sender, receiver }
    }
}

impl RecordCalls {
    /// Asks the control thread to make a call.
    pub fn send(&self, call: RecordCall) {
        if self.sender.send(call).is_err() {
            log::error!("the control thread makes no calls any more");
        }
    }
}

/// Confirmations and table changes, which come from the store and from other routers.
#[derive(Debug, Clone, Default)]
pub struct Shared {
    /// Maps the store's clock to the local one.
    pub store_clock: Arc<StoreClock>,
    /// Age of the newest confirmation of the configuration.
    pub freshness: Arc<Freshness>,
    /// Table changes that routers gossip about.
    pub tables: Arc<SharedTables>,
    /// Calls for the records of streams.
    pub records: RecordCalls,
}
