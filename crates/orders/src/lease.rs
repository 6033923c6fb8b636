//! The lease on giving orders, as a state machine that trusts no other host's clock.

use {
    baobab_store::{Insert, Inserted, Replace, Replaced, Row, StoreError},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Key of the lease's row.
pub const ROW_KEY: &str = "orders/lease";

/// Time that a row must stay unchanged, by the observer's clock, before it may be taken over.
const TAKE_OVER_AFTER: Duration = Duration::from_secs(15);
/// Time between two renewals.
const RENEW_EVERY: Duration = Duration::from_secs(4);
/// Time after the start of its last renewal that a holder may give orders, by its own clock. It
/// ends well before anybody else may take over.
const VALID_FOR: Duration = Duration::from_secs(8);

/// Content of the lease's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Host and run of the holder.
    pub holder: String,
    /// Fencing number; raised whenever the holder changes.
    pub fencing: u64,
    /// Renewals so far, so that each one changes the row.
    pub renewals: u64,
}

/// A call to the table that the lease wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the row.
    Read(String),
    /// Insert it if absent.
    Insert(Insert),
    /// Replace it on condition.
    Replace(Replace),
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Of a read.
    Read(Result<Option<Row>, StoreError>),
    /// Of an insert.
    Inserted(Result<Inserted, StoreError>),
    /// Of a replace.
    Replaced(Result<Replaced, StoreError>),
}

#[derive(Debug, Clone)]
struct Held {
    record: LeaseRecord,
    version: u64,
    /// When the call that won or renewed the lease was begun.
    since: Duration,
}

#[derive(Debug, Clone)]
struct Seen {
    version: u64,
    record: LeaseRecord,
    first: Duration,
}

/// One host's view of the lease.
#[derive(Debug)]
pub struct Lease {
    own: String,
    held: Option<Held>,
    seen: Option<Seen>,
    pending: Option<(Duration, LeaseRecord)>,
}

impl Lease {
    /// Starts without the lease. `own` names this host and its run.
    #[must_use]
    pub fn start(own: String) -> Self {
        Self {
            own,
            held: None,
            seen: None,
            pending: None,
        }
    }

    /// Returns the fencing number where this host may give orders now.
    #[must_use]
    pub fn fencing(&self, now: Duration) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now < held.since + VALID_FOR).then_some(held.record.fencing)
    }

    /// Returns the call that is due, if any. Its result must be given to `on_event` before the
    /// next call.
    pub fn step(&mut self, now: Duration) -> Option<LeaseStep> {
        if let Some(held) = &self.held {
            if now < held.since + RENEW_EVERY {
                return None;
            }
            let record = LeaseRecord {
                renewals: held.record.renewals + 1,
                ..held.record.clone()
            };
            let version = held.version;
            return Some(self.write(now, version, record));
        }
        let Some(seen) = &self.seen else {
            return Some(LeaseStep::Read(ROW_KEY.to_owned()));
        };
        if now < seen.first + TAKE_OVER_AFTER {
            return Some(LeaseStep::Read(ROW_KEY.to_owned()));
        }
        let record = LeaseRecord {
            holder: self.own.clone(),
            fencing: seen.record.fencing + 1,
            renewals: 0,
        };
        let version = seen.version;
        Some(self.write(now, version, record))
    }

    /// Takes a call's result in.
    pub fn on_event(&mut self, now: Duration, event: LeaseEvent) -> Option<LeaseStep> {
        match event {
            LeaseEvent::Read(Ok(None)) => return Some(self.first_write(now)),
            LeaseEvent::Read(Ok(Some(row))) => self.observe(now, &row),
            LeaseEvent::Inserted(Ok(Inserted::Done)) => self.won(1),
            LeaseEvent::Replaced(Ok(Replaced::Done(version))) => self.won(version),
            LeaseEvent::Inserted(Ok(Inserted::Exists(row)))
            | LeaseEvent::Replaced(Ok(Replaced::Conflict(Some(row)))) => {
                self.held = None;
                self.observe(now, &row);
            }
            // Whether a write without an answer took effect is read back in the next step; until
            // then the lease held so far runs out by its own clock.
            LeaseEvent::Read(Err(_))
            | LeaseEvent::Inserted(Err(_))
            | LeaseEvent::Replaced(Err(_) | Ok(Replaced::Conflict(None))) => {
                if self
                    .held
                    .as_ref()
                    .is_some_and(|held| now >= held.since + VALID_FOR)
                {
                    self.held = None;
                    self.seen = None;
                }
            }
        }
        None
    }

    /// Gives the lease up at a planned stop; the row is left for others to take over.
    pub fn release(&mut self) {
        self.held = None;
    }

    fn first_write(&mut self, now: Duration) -> LeaseStep {
        let record = LeaseRecord {
            holder: self.own.clone(),
            fencing: 1,
            renewals: 0,
        };
        let value = text_of(&record);
        self.begin(now, record);
        LeaseStep::Insert(Insert {
            key: ROW_KEY.to_owned(),
            value,
        })
    }

    fn write(&mut self, now: Duration, expected_version: u64, record: LeaseRecord) -> LeaseStep {
        let value = text_of(&record);
        self.begin(now, record);
        LeaseStep::Replace(Replace {
            key: ROW_KEY.to_owned(),
            expected_version,
            value,
        })
    }

    /// Notes a write. One that is tried again counts from its first try, which may have taken effect.
    fn begin(&mut self, now: Duration, record: LeaseRecord) {
        let is_again = self
            .pending
            .as_ref()
            .is_some_and(|(_, pending)| *pending == record);
        if !is_again {
            self.pending = Some((now, record));
        }
    }

    fn won(&mut self, version: u64) {
        if let Some((since, record)) = self.pending.take() {
            self.held = Some(Held {
                record,
                version,
                since,
            });
        }
    }

    fn observe(&mut self, now: Duration, row: &Row) {
        let Ok(record) = serde_json::from_str::<LeaseRecord>(&row.value) else {
            return;
        };
        // An own write whose reply was lost: it counts from when it was begun.
        let is_own = self
            .pending
            .as_ref()
            .is_some_and(|(_, pending)| *pending == record);
        if is_own {
            self.won(row.version);
            return;
        }
        let is_same = self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == row.version);
        if !is_same {
            self.seen = Some(Seen {
                version: row.version,
                record,
                first: now,
            });
        }
    }
}

fn text_of(record: &LeaseRecord) -> String {
    serde_json::to_string(record).unwrap_or_default()
}
