//! A router's side of a pool: what it has told the dispatcher, and the grants it has received.

use {
    crate::{EngineRow, Grant, Grants, Report, Revocation, StreamRow, WorkspaceRow},
    baobab_unit::{EngineId, HostId, Incarnation, PoolId, Sequence, Window, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// Least time between two reports to the home pool when something changed.
const HOME_SPACING: Duration = Duration::from_millis(15);
/// Least time between two reports to another pool when something changed.
const AWAY_SPACING: Duration = Duration::from_millis(40);
/// Time after which an unconfirmed report is followed by another.
const UNCONFIRMED_SPACING: Duration = Duration::from_millis(400);
/// Time after which changed token counts are reported.
const TOKEN_SPACING: Duration = Duration::from_millis(250);
/// Time after which a router with nothing new still reports, as long as it has streams or requests.
const REFRESH: Duration = Duration::from_secs(1);
/// Age beyond its own validity at which a dispatcher's message is too old to act on.
const TRANSIT_ALLOWANCE: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Versioned<T> {
    row: T,
    changed: Sequence,
}

/// The present state of a router towards one pool.
#[derive(Debug, Default)]
pub struct PoolState {
    /// Workspaces.
    pub workspaces: Vec<WorkspaceRow>,
    /// Streams.
    pub streams: Vec<StreamRow>,
    /// Engines.
    pub engines: Vec<EngineRow>,
    /// Whether this router's requests wait for this pool.
    pub is_home: bool,
}

/// What a dispatcher's message asks for.
#[derive(Debug, Default)]
pub struct ReceivedGrants {
    /// Slots to use.
    pub grants: Vec<Grant>,
    /// Slots to give back.
    pub revocations: Vec<Revocation>,
}

/// Reports to the dispatcher of one pool.
#[derive(Debug)]
pub struct Reporter {
    pool: PoolId,
    dispatcher: Option<HostId>,
    dispatcher_incarnation: Incarnation,
    last_heard: Option<Duration>,
    number: Sequence,
    acknowledged: Sequence,
    received: Window,
    answer_due: bool,
    sent: Option<Duration>,
    tokens_taken: Option<Duration>,
    stale: u64,
    workspaces: BTreeMap<WorkspaceId, Versioned<WorkspaceRow>>,
    streams: BTreeMap<(EngineId, WorkspaceId), Versioned<StreamRow>>,
    engines: BTreeMap<EngineId, Versioned<EngineRow>>,
}

impl Reporter {
    /// Starts with nothing told.
    #[must_use]
    pub fn start(pool: PoolId) -> Self {
        Self {
            pool,
            dispatcher: None,
            dispatcher_incarnation: 0,
            last_heard: None,
            number: 0,
            acknowledged: 0,
            received: Window::default(),
            answer_due: false,
            sent: None,
            tokens_taken: None,
            stale: 0,
            workspaces: BTreeMap::new(),
            streams: BTreeMap::new(),
            engines: BTreeMap::new(),
        }
    }

    /// Sets the host that dispatches the pool; a change leads to a full report.
    pub fn set_dispatcher(&mut self, host: Option<HostId>) {
        if self.dispatcher == host {
            return;
        }
        self.dispatcher = host;
        self.forget_dispatcher(0);
    }

    /// Returns the host that dispatches the pool.
    #[must_use]
    pub fn dispatcher(&self) -> Option<HostId> {
        self.dispatcher
    }

    /// Returns when the dispatcher was last heard.
    #[must_use]
    pub fn last_heard(&self) -> Option<Duration> {
        self.last_heard
    }

    /// Takes a dispatcher's message in and returns what is new and not too old.
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
            self.forget_dispatcher(incarnation);
        }
        self.last_heard = Some(now);
        if grants.router_incarnation == own_incarnation {
            // It falls where the dispatcher has dropped this router's rows.
            self.acknowledged = grants.applied.min(self.number);
        }
        let age = now.saturating_sub(grants.router_time);
        for grant in &grants.grants {
            if !self.received.accept(grant.number) {
                continue;
            }
            if age > grant.valid + TRANSIT_ALLOWANCE {
                self.stale += 1;
                continue;
            }
            received.grants.push(*grant);
        }
        if age <= TRANSIT_ALLOWANCE {
            received.revocations.clone_from(&grants.revocations);
        }
        self.answer_due |= !grants.grants.is_empty();
        received
    }

    /// Returns the number of grants that arrived too late to be used.
    #[must_use]
    pub fn stale(&self) -> u64 {
        self.stale
    }

    /// Returns the report that is due, if any, for the present state.
    pub fn report(&mut self, now: Duration, state: PoolState) -> Option<Report> {
        self.dispatcher?;
        let spacing = if state.is_home {
            HOME_SPACING
        } else {
            AWAY_SPACING
        };
        if !self.elapsed(now, spacing) {
            return None;
        }
        let changes = self.take_state(now, state);
        let refresh = self.is_active() && self.elapsed(now, REFRESH);
        let unconfirmed = self.acknowledged < self.number && self.elapsed(now, UNCONFIRMED_SPACING);
        if !changes && !self.answer_due && !refresh && !unconfirmed {
            return None;
        }
        self.number += 1;
        self.sent = Some(now);
        self.answer_due = false;
        Some(self.build(now))
    }

    fn elapsed(&self, now: Duration, spacing: Duration) -> bool {
        self.sent.is_none_or(|sent| now >= sent + spacing)
    }

    fn is_active(&self) -> bool {
        let waits = |row: &WorkspaceRow| row.waiting + row.waiting_urgent > 0;
        self.streams.values().any(|entry| entry.row.running > 0)
            || self.workspaces.values().any(|entry| waits(&entry.row))
    }

    fn forget_dispatcher(&mut self, incarnation: Incarnation) {
        self.dispatcher_incarnation = incarnation;
        self.last_heard = None;
        self.acknowledged = 0;
        self.received = Window::default();
        self.answer_due = true;
    }

    /// Takes the state in. Returns whether something changed that is worth a report at once.
    fn take_state(&mut self, now: Duration, state: PoolState) -> bool {
        let next = self.number + 1;
        let tokens_due = self
            .tokens_taken
            .is_none_or(|taken| now >= taken + TOKEN_SPACING);
        if tokens_due {
            self.tokens_taken = Some(now);
        }
        let mut changed = false;
        for row in state.workspaces {
            let entry = self.workspaces.get(&row.workspace).map(|entry| entry.row);
            let urgent = entry.is_none_or(|before| {
                before.waiting != row.waiting || before.waiting_urgent != row.waiting_urgent
            });
            let tokens = tokens_due && entry.is_some_and(|before| before.tokens != row.tokens);
            if urgent || tokens {
                self.workspaces
                    .insert(row.workspace, Versioned { row, changed: next });
                changed = true;
            }
        }
        changed |= self.take_streams(next, state.streams);
        for row in state.engines {
            let entry = self.engines.get(&row.engine).map(|entry| entry.row);
            let urgent = entry.is_none_or(|before| before.failing != row.failing);
            let tokens = tokens_due && entry.is_some_and(|before| before.tokens != row.tokens);
            if urgent || tokens {
                self.engines
                    .insert(row.engine, Versioned { row, changed: next });
                changed = true;
            }
        }
        changed
    }

    fn take_streams(&mut self, next: Sequence, streams: Vec<StreamRow>) -> bool {
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
