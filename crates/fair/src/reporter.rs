//! The router's side of the protocol with a pool's dispatcher: reports sent, grants received.

use {
    crate::{EngineRow, Grant, Grants, Report, Revocation, StreamRow, WorkspaceRow},
    baobab_unit::{EngineId, HostId, Incarnation, PoolId, Sequence, Window, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// Minimum interval between reports to the home pool.
const MIN_HOME_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum interval between reports to another pool.
const MIN_REMOTE_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which an unacknowledged report is followed by another.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which changed token counts are reported.
const TOKEN_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which a router with streams or waiting requests reports without any change.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum transit time of a dispatcher's message. Older revocations are ignored; a grant is
/// ignored once it is older than its validity plus this time.
const MAX_TRANSIT: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Versioned<T> {
    row: T,
    changed: Sequence,
}

/// Current state of a router with respect to one pool.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Queues and token counts by workspace.
    pub workspaces: Vec<WorkspaceRow>,
    /// Running streams by engine and workspace.
    pub streams: Vec<StreamRow>,
    /// Token counts and failures by engine.
    pub engines: Vec<EngineRow>,
    /// Whether this router's waiting requests are reported to this pool.
    pub is_home: bool,
}

/// The accepted grants and revocations of a dispatcher's message.
#[derive(Debug, Default)]
pub struct ReceivedGrants {
    /// Slots to use.
    pub grants: Vec<Grant>,
    /// Slots to release.
    pub revocations: Vec<Revocation>,
}

/// Sends reports to the dispatcher of one pool and accepts its grants.
#[derive(Debug)]
pub struct Reporter {
    pool: PoolId,
    dispatcher: Option<HostId>,
    dispatcher_incarnation: Incarnation,
    last_message_at: Option<Duration>,
    number: Sequence,
    acknowledged: Sequence,
    received: Window,
    ack_due: bool,
    last_sent: Option<Duration>,
    tokens_updated: Option<Duration>,
    expired_grants: u64,
    workspaces: BTreeMap<WorkspaceId, Versioned<WorkspaceRow>>,
    streams: BTreeMap<(EngineId, WorkspaceId), Versioned<StreamRow>>,
    engines: BTreeMap<EngineId, Versioned<EngineRow>>,
}

impl Reporter {
    /// Creates a reporter without a dispatcher.
    #[must_use]
    pub fn start(pool: PoolId) -> Self {
        Self {
            pool,
            dispatcher: None,
            dispatcher_incarnation: 0,
            last_message_at: None,
            number: 0,
            acknowledged: 0,
            received: Window::default(),
            ack_due: false,
            last_sent: None,
            tokens_updated: None,
            expired_grants: 0,
            workspaces: BTreeMap::new(),
            streams: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Sets the host that dispatches the pool. A change triggers a full report.
    pub fn set_dispatcher(&mut self, host: Option<HostId>) {
        if self.dispatcher == host {
            return;
        }
        self.dispatcher = host;
        self.reset_dispatcher(0);
    }

    /// Returns the host that dispatches the pool.
    #[must_use]
    pub fn dispatcher(&self) -> Option<HostId> {
        self.dispatcher
    }

    /// Returns the arrival time of the current dispatcher's last message, or `None` if none has
    /// arrived.
    #[must_use]
    pub fn last_message_at(&self) -> Option<Duration> {
        self.last_message_at
    }

    /// Applies a dispatcher's message and returns the grants and revocations that are new and not
    /// expired.
    pub fn on_grants(
        &mut self,
        now: Duration,
        from: HostId,
        incarnation: Incarnation,
        own_incarnation: Incarnation,
        grants: &Grants,
    ) -> ReceivedGrants {
        let mut received = ReceivedGrants::default();
        if self.dispatcher != Some(from) || incarnation < self.dispatcher_incarnation {
            return received;
        }
        if incarnation > self.dispatcher_incarnation {
            self.reset_dispatcher(incarnation);
        }
        self.last_message_at = Some(now);
        if grants.router_incarnation == own_incarnation {
            // Decreases after the dispatcher has cleared this router's rows.
            self.acknowledged = grants.applied.min(self.number);
        }
        let age = now.saturating_sub(grants.router_time);
        for grant in &grants.grants {
            if !self.received.accept(grant.number) {
                continue;
            }
            if age > grant.valid + MAX_TRANSIT {
                self.expired_grants += 1;
                continue;
            }
            received.grants.push(*grant);
        }
        if age <= MAX_TRANSIT {
            received.revocations.clone_from(&grants.revocations);
        }
        self.ack_due |= !grants.grants.is_empty();
        received
    }

    /// Returns the number of grants that arrived after their expiry.
    #[must_use]
    pub fn expired_grants(&self) -> u64 {
        self.expired_grants
    }

    /// Returns a report of the current state if one is due.
    pub fn report(&mut self, now: Duration, state: PoolState) -> Option<Report> {
        self.dispatcher?;
        let interval = if state.is_home {
            MIN_HOME_INTERVAL
        } else {
            MIN_REMOTE_INTERVAL
        };
        if !self.is_elapsed(now, interval) {
            return None;
        }
        let changes = self.update_state(now, state);
        let refresh = self.is_active() && self.is_elapsed(now, REFRESH_INTERVAL);
        let unconfirmed =
            self.acknowledged < self.number && self.is_elapsed(now, RETRANSMIT_INTERVAL);
        if !changes && !self.ack_due && !refresh && !unconfirmed {
            return None;
        }
        self.number += 1;
        self.last_sent = Some(now);
        self.ack_due = false;
        Some(self.build(now))
    }

    fn is_elapsed(&self, now: Duration, interval: Duration) -> bool {
        self.last_sent
            .is_none_or(|last_sent| now >= last_sent + interval)
    }

    fn is_active(&self) -> bool {
        let waits = |row: &WorkspaceRow| row.waiting + row.waiting_urgent > 0;
        self.streams.values().any(|entry| entry.row.running > 0)
            || self.workspaces.values().any(|entry| waits(&entry.row))
    }

    fn reset_dispatcher(&mut self, incarnation: Incarnation) {
        self.dispatcher_incarnation = incarnation;
        self.last_message_at = None;
        self.acknowledged = 0;
        self.received = Window::default();
        self.ack_due = true;
    }

    /// Updates the rows. Returns whether any changed enough for an immediate report.
    fn update_state(&mut self, now: Duration, state: PoolState) -> bool {
        let next = self.number + 1;
        let are_tokens_due = self
            .tokens_updated
            .is_none_or(|updated| now >= updated + TOKEN_INTERVAL);
        if are_tokens_due {
            self.tokens_updated = Some(now);
        }
        let mut changed = false;
        for row in state.workspaces {
            let entry = self.workspaces.get(&row.workspace).map(|entry| entry.row);
            let is_queue_changed = entry.is_none_or(|before| {
                before.waiting != row.waiting || before.waiting_urgent != row.waiting_urgent
            });
            let are_tokens_changed =
                are_tokens_due && entry.is_some_and(|before| before.tokens != row.tokens);
            if is_queue_changed || are_tokens_changed {
                self.workspaces
                    .insert(row.workspace, Versioned { row, changed: next });
                changed = true;
            }
        }
        changed |= self.update_streams(next, state.streams);
        for row in state.engines {
            let entry = self.engines.get(&row.engine).map(|entry| entry.row);
            let is_failing_changed = entry.is_none_or(|before| before.failing != row.failing);
            let are_tokens_changed =
                are_tokens_due && entry.is_some_and(|before| before.tokens != row.tokens);
            if is_failing_changed || are_tokens_changed {
                self.engines
                    .insert(row.engine, Versioned { row, changed: next });
                changed = true;
            }
        }
        changed
    }

    fn update_streams(&mut self, next: Sequence, streams: Vec<StreamRow>) -> bool {
        let mut changed = false;
        let present: BTreeMap<_, _> = streams
            .into_iter()
            .map(|row| ((row.engine, row.workspace), row))
            .collect();
        for (key, entry) in &mut self.streams {
            if !present.contains_key(key) && entry.row.running > 0 {
                entry.row.running = 0;
                entry.changed = next;
                changed = true;
            }
        }
        for (key, row) in present {
            if self.streams.get(&key).is_none_or(|entry| entry.row != row) {
                self.streams.insert(key, Versioned { row, changed: next });
                changed = true;
            }
        }
        let acknowledged = self.acknowledged;
        self.streams
            .retain(|_, entry| entry.row.running > 0 || entry.changed > acknowledged);
        changed
    }

    fn build(&self, now: Duration) -> Report {
        let base = self.acknowledged;
        Report {
            pool: self.pool,
            number: self.number,
            base,
            sent_at: now,
            dispatcher_incarnation: self.dispatcher_incarnation,
            received: self.received,
            workspaces: rows_since(self.workspaces.values(), base),
            streams: rows_since(self.streams.values(), base),
            engines: rows_since(self.engines.values(), base),
        }
    }
}

fn rows_since<'a, T: Copy + 'a>(
    entries: impl Iterator<Item = &'a Versioned<T>>,
    base: Sequence,
) -> Vec<T> {
    entries
        .filter(|entry| entry.changed > base)
        .map(|entry| entry.row)
        .collect()
}
