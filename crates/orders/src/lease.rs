//! State machine of the lease that permits sending orders. It relies on no other host's clock.

use {
    baobab_store::{Insert, Inserted, Replace, Replaced, Row, StoreError},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Key of the lease row in the platform's table.
pub const ROW_KEY: &str = "orders/lease";

/// Time that the row must stay unchanged, by the observer's clock, before a takeover.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between renewals.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(4);
/// Validity of the lease by the holder's clock, from the start of its last renewal. It ends well
/// before another host may take over.
const LEASE_VALIDITY: Duration = Duration::from_secs(8);

/// Content of the lease row, stored as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Host and incarnation of the holder.
    pub holder: String,
    /// Fencing number, incremented at each change of the holder.
    pub fencing: u64,
    /// Renewals by this holder; counted so that each renewal changes the row.
    pub renewals: u64,
}

/// Table call that the lease requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the row.
    Read(String),
    /// Insert the row if it is absent.
    Insert(Insert),
    /// Replace the row if its version matches.
    Replace(Replace),
}

/// Result of a table call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Result of [`LeaseStep::Read`].
    Read(Result<Option<Row>, StoreError>),
    /// Result of [`LeaseStep::Insert`].
    Inserted(Result<Inserted, StoreError>),
    /// Result of [`LeaseStep::Replace`].
    Replaced(Result<Replaced, StoreError>),
}

#[derive(Debug, Clone)]
struct HeldLease {
    record: LeaseRecord,
    version: u64,
    /// Start of the call that acquired or renewed the lease.
    begun_at: Duration,
}

#[derive(Debug, Clone)]
struct ObservedRow {
    version: u64,
    record: LeaseRecord,
    first_observed_at: Duration,
}

/// One host's view of the lease. Times are those of its own clock.
#[derive(Debug)]
pub struct Lease {
    own_name: String,
    held: Option<HeldLease>,
    observed: Option<ObservedRow>,
    pending: Option<(Duration, LeaseRecord)>,
}

impl Lease {
    /// Starts without the lease. `own_name` identifies this host and its incarnation.
    #[must_use]
    pub fn start(own_name: String) -> Self {
        Self {
            own_name,
            held: None,
            observed: None,
            pending: None,
        }
    }

    /// Returns the fencing number if this host holds a valid lease, so may send orders now.
    #[must_use]
    pub fn fencing(&self, now: Duration) -> Option<u64> {
        let held = self.held.as_ref()?;
        (now < held.begun_at + LEASE_VALIDITY).then_some(held.record.fencing)
    }

    /// Returns the table call that is due, if any. Pass its result to `on_event` before calling
    /// this again.
    pub fn step(&mut self, now: Duration) -> Option<LeaseStep> {
        if let Some(held) = &self.held {
            if now < held.begun_at + RENEWAL_INTERVAL {
                return None;
            }
            let record = LeaseRecord {
                renewals: held.record.renewals + 1,
                ..held.record.clone()
            };
            let version = held.version;
            return Some(self.replace_row(now, version, record));
        }
        let Some(observed) = &self.observed else {
            return Some(LeaseStep::Read(ROW_KEY.to_owned()));
        };
        if now < observed.first_observed_at + TAKEOVER_TIMEOUT {
            return Some(LeaseStep::Read(ROW_KEY.to_owned()));
        }
        let record = LeaseRecord {
            holder: self.own_name.clone(),
            fencing: observed.record.fencing + 1,
            renewals: 0,
        };
        let version = observed.version;
        Some(self.replace_row(now, version, record))
    }

    /// Applies the result of a table call and returns the call that must follow at once, if any.
    pub fn on_event(&mut self, now: Duration, event: LeaseEvent) -> Option<LeaseStep> {
        match event {
            LeaseEvent::Read(Ok(None)) => return Some(self.insert_first(now)),
            LeaseEvent::Read(Ok(Some(row))) => self.observe(now, &row),
            LeaseEvent::Inserted(Ok(Inserted::Done)) => self.acquire(1),
            LeaseEvent::Replaced(Ok(Replaced::Done(version))) => self.acquire(version),
            LeaseEvent::Inserted(Ok(Inserted::Exists(row)))
            | LeaseEvent::Replaced(Ok(Replaced::Conflict(Some(row)))) => {
                self.held = None;
                self.observe(now, &row);
            }
            // The next step finds out whether an unanswered write took effect; until then the
            // lease that is held expires by this host's clock.
            LeaseEvent::Read(Err(_))
            | LeaseEvent::Inserted(Err(_))
            | LeaseEvent::Replaced(Err(_) | Ok(Replaced::Conflict(None))) => {
                if self
                    .held
                    .as_ref()
                    .is_some_and(|held| now >= held.begun_at + LEASE_VALIDITY)
                {
                    self.held = None;
                    self.observed = None;
                }
            }
        }
        None
    }

    /// Gives up the lease; the row stays, and other hosts take it over after their timeout.
    pub fn release(&mut self) {
        self.held = None;
    }

    fn insert_first(&mut self, now: Duration) -> LeaseStep {
        let record = LeaseRecord {
            holder: self.own_name.clone(),
            fencing: 1,
            renewals: 0,
        };
        let value = to_json(&record);
        self.record_pending(now, record);
        LeaseStep::Insert(Insert {
            key: ROW_KEY.to_owned(),
            value,
        })
    }

    fn replace_row(
        &mut self,
        now: Duration,
        expected_version: u64,
        record: LeaseRecord,
    ) -> LeaseStep {
        let value = to_json(&record);
        self.record_pending(now, record);
        LeaseStep::Replace(Replace {
            key: ROW_KEY.to_owned(),
            expected_version,
            value,
        })
    }

    /// Records a pending write. A retry keeps the time of the first, which may have taken effect.
    fn record_pending(&mut self, now: Duration, record: LeaseRecord) {
        let is_retry = self
            .pending
            .as_ref()
            .is_some_and(|(_, pending)| *pending == record);
        if !is_retry {
            self.pending = Some((now, record));
        }
    }

    fn acquire(&mut self, version: u64) {
        if let Some((begun_at, record)) = self.pending.take() {
            self.held = Some(HeldLease {
                record,
                version,
                begun_at,
            });
        }
    }

    fn observe(&mut self, now: Duration, row: &Row) {
        let Ok(record) = serde_json::from_str::<LeaseRecord>(&row.value) else {
            return;
        };
        // Own write whose reply was lost: the lease is valid from the start of that write.
        let is_own_write = self
            .pending
            .as_ref()
            .is_some_and(|(_, pending)| *pending == record);
        if is_own_write {
            self.acquire(row.version);
            return;
        }
        let is_unchanged = self
            .observed
            .as_ref()
            .is_some_and(|observed| observed.version == row.version);
        if !is_unchanged {
            self.observed = Some(ObservedRow {
                version: row.version,
                record,
                first_observed_at: now,
            });
        }
    }
}

fn to_json(record: &LeaseRecord) -> String {
    serde_json::to_string(record).unwrap_or_default()
}
