//! Changes of the store's tables, on their way between the control thread and other routers.

use {
    crate::{command::Command, gossip::ToldTable},
    baobab_unit::to_u32,
    baobab_watch::{DeltaFuture, Revision, TableDelta, TableGossip},
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

/// Tables that routers tell each other.
pub const TABLES: usize = 2;
/// Routers that ask the store for the others: enough that some of them reach it.
const READERS: usize = 4;
/// Size of the fleet below which every router asks for itself.
const LEAST_FLEET: usize = 12;
/// What others have told and the control thread has not taken yet; older news is repeated.
const MOST_HEARD: usize = 64;

/// Time between two tellings of the same revision that the control thread is woken for.
const SAME_INTERVAL: Duration = Duration::from_millis(400);

/// One table on its way to the control thread.
#[derive(Debug)]
struct Heard {
    sender: Sender<TableDelta>,
    receiver: Receiver<TableDelta>,
    /// Revision that was passed on last, and when.
    last: Mutex<(Revision, Duration)>,
}

impl Default for Heard {
    fn default() -> Self {
        let (sender, receiver) = flume::bounded(MOST_HEARD);
        Self {
            sender,
            receiver,
            last: Mutex::default(),
        }
    }
}

/// What both threads know of the tables.
#[derive(Debug, Default)]
pub struct SharedTables {
    heard: [Heard; TABLES],
    follows_gossip: AtomicBool,
    rank: AtomicU32,
}

impl SharedTables {
    /// Notes the fleet's size and how many routers stand before this one.
    pub fn set_rank(&self, rank: usize, fleet_size: usize) {
        let follows_gossip = fleet_size >= LEAST_FLEET && rank >= READERS;
        self.follows_gossip.store(follows_gossip, Ordering::Relaxed);
        self.rank.store(to_u32(rank), Ordering::Relaxed);
    }

    /// Returns how many routers that are heard stand before this one.
    #[must_use]
    pub fn rank(&self) -> u32 {
        self.rank.load(Ordering::Relaxed)
    }

    /// Tells whether this router learns the tables from others.
    #[must_use]
    pub fn follows_gossip(&self) -> bool {
        self.follows_gossip.load(Ordering::Relaxed)
    }

    /// Takes in what another router has told. What the control thread has no time for is dropped,
    /// since it is told again.
    pub fn on_delta(&self, table: ToldTable, now: Duration) {
        let Some(heard) = self.heard.get(usize::from(table.table)) else {
            return;
        };
        let mut last = heard.last.lock().unwrap_or_else(PoisonError::into_inner);
        let (revision, at) = *last;
        if table.delta.revision == revision && now.saturating_sub(at) < SAME_INTERVAL {
            return;
        }
        *last = (table.delta.revision, now);
        let _ = heard.sender.try_send(table.delta);
    }
}

/// The other routers, as the follower of one table sees them.
#[derive(Debug)]
pub struct TableGossipChannel {
    table: u8,
    shared: Arc<SharedTables>,
    commands: Sender<Command>,
    heard: Option<Receiver<TableDelta>>,
}

impl TableGossipChannel {
    /// Makes the follower's side of a table.
    #[must_use]
    pub fn new(table: u8, shared: &Arc<SharedTables>, commands: Sender<Command>) -> Self {
        Self {
            table,
            heard: shared
                .heard
                .get(usize::from(table))
                .map(|heard| heard.receiver.clone()),
            shared: Arc::clone(shared),
            commands,
        }
    }

    fn send(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("the traffic thread has ended");
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
            match &self.heard {
                Some(heard) => match heard.recv_async().await {
                    Ok(delta) => delta,
                    Err(_) => pending().await,
                },
                None => pending().await,
            }
        })
    }

    fn discard_pending(&mut self) -> bool {
        self.heard
            .as_ref()
            .is_some_and(|heard| heard.drain().count() > 0)
    }
}
