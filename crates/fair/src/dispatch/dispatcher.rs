//! The dispatcher of one pool: grants free slots to the workspaces that are furthest behind.

use {
    super::{Action, DispatcherStatus},
    crate::{
        EngineSlots, Ledger, PoolUpdate, Report, SyncRow, Tuning, WorkspaceWeight,
        anticipated_grants::AnticipatedGrants,
        backlog::Backlogs,
        engines::Engines,
        peers::Peers,
        published_rows::PublishedRows,
        revoker::{Revoker, RoutedRevocation},
        routers::{Routers, Tally},
        standing_queues::StandingQueues,
    },
    baobab_unit::{HostId, Incarnation, ModelId, PoolId, Sequence, Token, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// Assumed rate of a stream before the first measurement, in tokens a second.
const ASSUMED_STREAM_RATE: f64 = 20.0;
/// Time after its start for which a dispatcher requests its predecessor's counters from peers.
pub(super) const SYNC_REQUEST_PERIOD: Duration = Duration::from_secs(3);

/// Grants the slots of one pool's engines to the waiting requests of all routers.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) pool: PoolId,
    pub(super) model: ModelId,
    pub(super) incarnation: Incarnation,
    pub(super) tuning: Tuning,
    pub(super) started: Duration,
    pub(super) last_decision: Duration,
    pub(super) offer_count: u32,
    pub(super) weights: BTreeMap<WorkspaceId, u32>,
    pub(super) engines: Engines,
    pub(super) routers: Routers,
    pub(super) peers: Peers,
    pub(super) ledger: Ledger,
    pub(super) backlogs: Backlogs,
    pub(super) published_rows: PublishedRows,
    pub(super) revoker: Revoker,
    pub(super) due_revocations: Vec<RoutedRevocation>,
    pub(super) anticipated_grants: AnticipatedGrants,
    pub(super) standing_queues: StandingQueues,
    pub(super) update_number: Sequence,
    pub(super) fleet_rate: f64,
    pub(super) rate_measured: Duration,
    pub(super) served_tokens: Token,
    pub(super) status: DispatcherStatus,
    pub(super) queued_actions: Vec<Action>,
}

impl Dispatcher {
    /// Starts the dispatcher of a pool with empty state.
    #[must_use]
    pub fn start(
        now: Duration,
        pool: PoolId,
        model: ModelId,
        incarnation: Incarnation,
        tuning: Tuning,
    ) -> Self {
        let mut engines = Engines::default();
        engines.assume_rate(ASSUMED_STREAM_RATE);
        Self {
            pool,
            model,
            incarnation,
            tuning,
            started: now,
            last_decision: now,
            offer_count: 0,
            weights: BTreeMap::new(),
            engines,
            routers: Routers::default(),
            peers: Peers::default(),
            ledger: Ledger::default(),
            backlogs: Backlogs::default(),
            published_rows: PublishedRows::default(),
            revoker: Revoker::default(),
            due_revocations: Vec::new(),
            anticipated_grants: AnticipatedGrants::default(),
            standing_queues: StandingQueues::default(),
            update_number: 0,
            fleet_rate: ASSUMED_STREAM_RATE,
            rate_measured: now,
            served_tokens: 0,
            status: DispatcherStatus::default(),
            queued_actions: Vec::new(),
        }
    }

    /// Sets the declared workspaces.
    pub fn set_workspaces(&mut self, workspaces: &[WorkspaceWeight]) {
        self.weights = workspaces
            .iter()
            .map(|entry| (entry.workspace, entry.weight))
            .collect();
        let weights = &self.weights;
        self.ledger
            .retain(|workspace| weights.contains_key(&workspace));
    }

    /// Sets the pool's engines.
    pub fn set_engines(&mut self, engines: &[EngineSlots]) {
        self.engines.set(engines);
    }

    /// Sets the number of slots reserved for urgent requests.
    pub fn set_urgent_reserve(&mut self, slots: u32) {
        self.tuning.urgent_reserve_slots = slots;
    }

    /// Applies a router's report.
    pub fn on_report(
        &mut self,
        now: Duration,
        from: HostId,
        incarnation: Incarnation,
        report: &Report,
    ) {
        let served = self
            .routers
            .apply(now, from, incarnation, report, self.incarnation);
        let Some(served) = served else {
            return;
        };
        for (workspace, tokens) in served.workspaces {
            if self.weights.contains_key(&workspace) {
                self.ledger.charge(self.pool, workspace, tokens);
                self.served_tokens += tokens;
            }
        }
        for (engine, tokens) in served.engines {
            self.engines.charge(engine, tokens);
        }
    }

    /// Applies a pool update from another dispatcher.
    pub fn on_pool_update(
        &mut self,
        now: Duration,
        from: HostId,
        incarnation: Incarnation,
        update: &PoolUpdate,
    ) {
        if update.pool == self.pool {
            // Sent by another dispatcher of the same pool: only its counters are merged.
            for row in &update.rows {
                self.merge(row.workspace, row.tokens, row.lift);
            }
            return;
        }
        let refused = self
            .peers
            .apply(now, from, incarnation, update, &mut self.ledger);
        self.status.rows_refused += u64::from(refused);
        if update.wants_sync {
            self.queued_actions.push(Action::Sync {
                to: from,
                pool: update.pool,
                rows: self.sync_rows(update.pool),
            });
        }
    }

    /// Merges a peer's counters of this pool from before this dispatcher's start.
    pub fn on_sync(&mut self, rows: &[SyncRow]) {
        for row in rows {
            self.merge(row.workspace, row.tokens, row.lift);
        }
    }

    /// Decides on grants and returns the messages to send. Must be called every few milliseconds
    /// and after pool updates.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.routers.drop_silent(now, self.tuning.router_timeout);
        self.peers.drop_silent(now, self.tuning.update_valid);
        let reclaimed = self.routers.reclaim(now, self.tuning.grant_reclaim);
        self.status.reclaimed += u64::from(reclaimed);
        self.engines.measure(now, &self.routers);
        self.measure_rate(now);
        self.anticipated_grants
            .update(now, self.peers.count(self.model));
        self.standing_queues.update(now, self.routers.tallies());
        if now >= self.started + self.tuning.settle_time && self.is_decision_due(now) {
            self.last_decision = now;
            self.decide(now);
        }
        let mut actions = std::mem::take(&mut self.queued_actions);
        self.send_grants(now, &mut actions);
        self.send_pool_update(now, &mut actions);
        actions
    }

    /// Returns the current status.
    #[must_use]
    pub fn status(&self) -> DispatcherStatus {
        DispatcherStatus {
            slots: self.engines.slots_total(),
            free: self.engines.free_total(&self.routers),
            slow_engines: self.engines.slow_total(),
            waiting: self
                .routers
                .tallies()
                .values()
                .map(Tally::waiting_total)
                .sum(),
            ..self.status
        }
    }

    /// Returns the service counters of all workspaces.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    fn merge(&mut self, workspace: WorkspaceId, tokens: Token, lift: Token) {
        let merged = self.ledger.merge_tokens(self.pool, workspace, tokens)
            && self.ledger.merge_lift(workspace, lift);
        self.status.rows_refused += u64::from(!merged);
    }

    fn sync_rows(&self, pool: PoolId) -> Vec<SyncRow> {
        self.ledger
            .workspaces(pool)
            .map(|workspace| SyncRow {
                workspace,
                tokens: self.ledger.tokens(pool, workspace),
                lift: self.ledger.lift(workspace),
            })
            .collect()
    }
}
