//! Passes changes of the store's tables between the control thread and other routers.

use {
    crate::{command::Command, gossip::TableUpdate},
    baobab_unit::to_u32,
    baobab_watch::{DeltaFuture, Era, Revision, TableDelta, TableGossip},
    flume::{Receiver, Sender},
    std::{
        future::pending,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        time::Duration,
    },
};

/// Number of tables that routers gossip about.
pub const TABLES: usize = 2;
/// Routers that read the store for the others: enough that some of them can reach it.
const STORE_READERS: usize = 4;
/// In smaller fleets every router reads the store itself.
const MIN_GOSSIP_FLEET: usize = 12;
/// Received deltas that wait for the control thread; dropped ones are published again.
const INBOX_CAPACITY: usize = 64;

/// Minimum interval at which the control thread is woken for an unchanged revision.
const SAME_REVISION_INTERVAL: Duration = Duration::from_millis(400);

/// Received deltas of one table, for the control thread.
#[derive(Debug)]
struct TableInbox {
    sender: Sender<TableDelta>,
    receiver: Receiver<TableDelta>,
    /// Position delivered last, and when.
    last_delivered: Mutex<((Era, Revision), Duration)>,
}

impl Default for TableInbox {
    fn default() -> Self {
        let (sender, receiver) = flume::bounded(INBOX_CAPACITY);
        Self {
            sender,
            receiver,
            last_delivered: Mutex::default(),
        }
    }
}

/// State of the tables' gossip, shared by the traffic and control threads.
#[derive(Debug, Default)]
pub struct SharedTables {
    inboxes: [TableInbox; TABLES],
    follows_gossip: AtomicBool,
    preceding_routers: AtomicU32,
}

impl SharedTables {
    /// Sets how many routers precede this one, and whether it follows gossip at this fleet size.
    pub fn set_preceding_routers(&self, preceding_routers: usize, fleet_size: usize) {
        let follows_gossip = fleet_size >= MIN_GOSSIP_FLEET && preceding_routers >= STORE_READERS;
        self.follows_gossip.store(follows_gossip, Ordering::Relaxed);
        self.preceding_routers
            .store(to_u32(preceding_routers), Ordering::Relaxed);
    }

    /// Returns how many routers that are not silent precede this one.
    #[must_use]
    pub fn preceding_routers(&self) -> u32 {
        self.preceding_routers.load(Ordering::Relaxed)
    }

    /// Whether this router learns the tables from others.
    #[must_use]
    pub fn follows_gossip(&self) -> bool {
        self.follows_gossip.load(Ordering::Relaxed)
    }

    /// Delivers a delta from another router. It is dropped if the inbox is full, since it is
    /// published again.
    pub fn deliver(&self, table: TableUpdate, now: Duration) {
        let Some(inbox) = self.inboxes.get(usize::from(table.table)) else {
            return;
        };
        let mut last = inbox
            .last_delivered
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let (position, at) = *last;
        let delta_position = (table.delta.era, table.delta.revision);
        if delta_position == position && now.saturating_sub(at) < SAME_REVISION_INTERVAL {
            return;
        }
        *last = (delta_position, now);
        let _ = inbox.sender.try_send(table.delta);
    }
}

/// Gossip with the other routers about one table, for its follower on the control thread.
#[derive(Debug)]
pub struct TableGossipChannel {
    table: u8,
    shared: Arc<SharedTables>,
    commands: Sender<Command>,
    receiver: Option<Receiver<TableDelta>>,
}

impl TableGossipChannel {
    /// Creates the channel of a table.
    #[must_use]
    pub fn new(table: u8, shared: &Arc<SharedTables>, commands: Sender<Command>) -> Self {
        Self {
            table,
            receiver: shared
                .inboxes
                .get(usize::from(table))
                .map(|inbox| inbox.receiver.clone()),
            shared: Arc::clone(shared),
            commands,
        }
    }

    fn send(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("command is dropped: the traffic thread has ended");
        }
    }
}

impl TableGossip for TableGossipChannel {
    fn reads_store(&self) -> bool {
        !self.shared.follows_gossip()
    }

    fn publish(&self, delta: TableDelta) {
        self.send(Command::PublishTable(self.table, delta));
    }

    fn stop_publishing(&self) {
        self.send(Command::StopPublishing(self.table));
    }

    fn next_delta(&mut self) -> DeltaFuture<'_> {
        Box::pin(async {
            match &self.receiver {
                Some(receiver) => match receiver.recv_async().await {
                    Ok(delta) => delta,
                    Err(_) => pending().await,
                },
                None => pending().await,
            }
        })
    }

    fn discard_pending(&mut self) -> bool {
        self.receiver
            .as_ref()
            .is_some_and(|receiver| receiver.drain().count() > 0)
    }
}
