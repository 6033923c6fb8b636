//! The dispatcher of one pool: gives free slots to the workspaces that are furthest behind.

use {
    super::{Action, DispatcherStatus},
    crate::{
        EngineSlots, Ledger, PoolUpdate, Report, SyncRow, Tuning, WorkspaceWeight,
        anticipated::Anticipated,
        backlog::Backlogs,
        engines::Engines,
        peers::Peers,
        revoking::{Chosen, Revoking},
        routers::{Routers, Tally},
        standing::Standing,
        told::Told,
    },
    baobab_unit::{HostId, Incarnation, ModelId, PoolId, Sequence, Token, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// Tokens a second that a stream is assumed to receive before anything was measured.
const ASSUMED_STREAM_RATE: f64 = 20.0;
/// Age up to which a dispatcher counts as new: it may not know what its predecessor served.
pub(super) const NEW_FOR: Duration = Duration::from_secs(3);

/// The dispatcher of one pool.
#[derive(Debug)]
pub struct Dispatcher {
    pub(super) pool: PoolId,
    pub(super) model: ModelId,
    pub(super) incarnation: Incarnation,
    pub(super) tuning: Tuning,
    pub(super) started: Duration,
    pub(super) decided: Duration,
    pub(super) offers: u32,
    pub(super) weights: BTreeMap<WorkspaceId, u32>,
    pub(super) engines: Engines,
    pub(super) routers: Routers,
    pub(super) peers: Peers,
    pub(super) ledger: Ledger,
    pub(super) backlogs: Backlogs,
    pub(super) told: Told,
    pub(super) revoking: Revoking,
    pub(super) revocations: Vec<Chosen>,
    pub(super) anticipated: Anticipated,
    pub(super) standing: Standing,
    pub(super) update_number: Sequence,
    pub(super) fleet_rate: f64,
    pub(super) rate_measured: Duration,
    pub(super) served_tokens: Token,
    pub(super) status: DispatcherStatus,
    pub(super) pending: Vec<Action>,
}

impl Dispatcher {
    /// Starts the dispatcher of a pool with nothing known.
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
            decided: now,
            offers: 0,
            weights: BTreeMap::new(),
            engines,
            routers: Routers::default(),
            peers: Peers::default(),
            ledger: Ledger::default(),
            backlogs: Backlogs::default(),
            told: Told::default(),
            revoking: Revoking::default(),
            revocations: Vec::new(),
            anticipated: Anticipated::default(),
            standing: Standing::default(),
            update_number: 0,
            fleet_rate: ASSUMED_STREAM_RATE,
            rate_measured: now,
            served_tokens: 0,
            status: DispatcherStatus::default(),
            pending: Vec::new(),
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

    /// Sets the slots that are kept for urgent requests.
    pub fn set_urgent_reserve(&mut self, slots: u32) {
        self.tuning.urgent_reserve_slots = slots;
    }

    /// Takes a router's report in.
    pub fn on_report(
        &mut self,
        now: Duration,
        from: HostId,
        incarnation: Incarnation,
        report: &Report,
    ) {
        let growth = self
            .routers
            .apply(now, from, incarnation, report, self.incarnation);
        let Some(growth) = growth else {
            return;
        };
        for (workspace, tokens) in growth.workspaces {
            if self.weights.contains_key(&workspace) {
                self.ledger.charge(self.pool, workspace, tokens);
                self.served_tokens += tokens;
            }
        }
        for (engine, tokens) in growth.engines {
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
            // Another dispatcher for this pool: its counters are merged, its streams are not.
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
            self.pending.push(Action::Sync {
                to: from,
                pool: update.pool,
                rows: self.sync_rows(update.pool),
            });
        }
    }

    /// Takes in what a peer knows of this pool from before this dispatcher started.
    pub fn on_sync(&mut self, rows: &[SyncRow]) {
        for row in rows {
            self.merge(row.workspace, row.tokens, row.lift);
        }
    }

    /// Decides what to grant and what to send. To be called every few milliseconds and after pool
    /// updates.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.routers.drop_silent(now, self.tuning.router_silence);
        self.peers.drop_silent(now, self.tuning.update_valid);
        let reclaimed = self.routers.reclaim(now, self.tuning.grant_reclaim);
        self.status.reclaimed += u64::from(reclaimed);
        self.engines.measure(now, &self.routers);
        self.measure_rate(now);
        self.anticipated.update(now, self.peers.count(self.model));
        self.standing.update(now, self.routers.tallies());
        if now >= self.started + self.tuning.settle && self.is_decision_due(now) {
            self.decided = now;
            self.decide(now);
        }
        let mut actions = std::mem::take(&mut self.pending);
        self.send_grants(now, &mut actions);
        self.send_pool_update(now, &mut actions);
        actions
    }

    /// Returns figures for operators.
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

    /// Returns the service counters.
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
