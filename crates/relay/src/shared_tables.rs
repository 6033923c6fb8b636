//! Changes of the store's tables, on their way between the control thread and other routers.

use {
    crate::{command::Command, gossip::ToldTable},
    baobab_unit::to_u32,
    baobab_watch::{Hearing, Neighbours, Revision, Told},
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
    sender: Sender<Told>,
    receiver: Receiver<Told>,
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
    is_hearer: AtomicBool,
    rank: AtomicU32,
}

impl SharedTables {
    /// Notes the fleet's size and how many routers stand before this one.
    pub fn set_place(&self, rank: usize, fleet_size: usize) {
        let is_hearer = fleet_size >= LEAST_FLEET && rank >= READERS;
        self.is_hearer.store(is_hearer, Ordering::Relaxed);
        self.rank.store(to_u32(rank), Ordering::Relaxed);
    }

    /// Returns how many routers that are heard stand before this one.
    #[must_use]
    pub fn rank(&self) -> u32 {
        self.rank.load(Ordering::Relaxed)
    }

    /// Tells whether this router learns the tables from others.
    #[must_use]
    pub fn is_hearer(&self) -> bool {
        self.is_hearer.load(Ordering::Relaxed)
    }

    /// Takes in what another router has told. What the control thread has no time for is dropped,
    /// since it is told again.
    pub fn on_told(&self, table: ToldTable, now: Duration) {
        let Some(heard) = self.heard.get(usize::from(table.table)) else {
            return;
        };
        let mut last = heard.last.lock().unwrap_or_else(PoisonError::into_inner);
        let (revision, at) = *last;
        if table.told.revision == revision && now.saturating_sub(at) < SAME_INTERVAL {
            return;
        }
        *last = (table.told.revision, now);
        let _ = heard.sender.try_send(table.told);
    }
}

/// The other routers, as the follower of one table sees them.
#[derive(Debug)]
pub struct TableNeighbours {
    table: u8,
    shared: Arc<SharedTables>,
    commands: Sender<Command>,
    heard: Option<Receiver<Told>>,
}

impl TableNeighbours {
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

impl Neighbours for TableNeighbours {
    fn is_reader(&self) -> bool {
        !self.shared.is_hearer()
    }

    fn tell(&self, told: Told) {
        self.send(Command::TellTable(self.table, told));
    }

    fn stop_telling(&self) {
        self.send(Command::StopTelling(self.table));
    }

    fn hear(&mut self) -> Hearing<'_> {
        Box::pin(async {
            match &self.heard {
                Some(heard) => match heard.recv_async().await {
                    Ok(told) => told,
                    Err(_) => pending().await,
                },
                None => pending().await,
            }
        })
    }

    fn has_heard(&mut self) -> bool {
        self.heard
            .as_ref()
            .is_some_and(|heard| heard.drain().count() > 0)
    }
}
