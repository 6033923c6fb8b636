//! This host's dispatcher roles, reports and grants over all pools.

use {
    super::{
        health::Health,
        outbox::Outbox,
        pool::{Pool, home_pool, pool_state, update_pools},
        prefixes::Prefixes,
        queue::Queue,
        streams::Streams,
    },
    baobab_conf::{Declarations, DispatchMode, RouterConf},
    baobab_fair::{
        Action, Dispatcher, DispatcherStatus, Grant, Grants, PoolUpdate, Report, Revocation,
        StaticShares, Tuning, WorkspaceWeight,
    },
    baobab_fleet::{Member, Membership},
    baobab_unit::{DomainId, HostId, Incarnation, ModelId, PoolId, to_u32},
    baobab_wire::{Message, SyncMessage},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A router without a dispatcher uses its share divided by this.
const FALLBACK_DIVISOR: u32 = 2;

/// The control thread's state that one round of decisions reads and changes.
pub struct RoundContext<'a> {
    pub membership: &'a Membership,
    pub outbox: &'a mut Outbox,
    pub queue: &'a mut Queue,
    pub streams: &'a mut Streams,
    pub health: &'a Health,
}

/// Counts of the grants of one round, by outcome.
#[derive(Debug, Default)]
pub struct GrantCounts {
    pub(super) used: u64,
    pub(super) declined: u64,
    pub(super) local_share: u64,
}

impl GrantCounts {
    /// Returns each count with its metric label.
    pub fn by_outcome(&self) -> [(&'static str, u64); 3] {
        [
            ("used", self.used),
            ("declined", self.declined),
            ("local_share", self.local_share),
        ]
    }
}

/// A received grant that the next round uses.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingGrant {
    pub(super) pool: PoolId,
    pub(super) grant: Grant,
}

/// Manages this host's part in all pools: dispatcher roles, reports, grants and static shares.
pub struct PoolManager {
    pub(super) own_host: HostId,
    pub(super) own_domain: DomainId,
    pub(super) incarnation: Incarnation,
    pub(super) mode: DispatchMode,
    pub(super) host_index: u32,
    pub(super) host_count: u32,
    pub(super) pools: BTreeMap<PoolId, Pool>,
    pub(super) static_shares: BTreeMap<ModelId, StaticShares>,
    pub(super) weights: Vec<WorkspaceWeight>,
    pub(super) urgent_reserve_slots: u32,
    pub(super) leaving: BTreeSet<String>,
    pub(super) prefixes: Prefixes,
    pub(super) pending_grants: Vec<PendingGrant>,
    pub(super) pending_revocations: Vec<Revocation>,
    pub(super) waiting_since: BTreeMap<ModelId, Duration>,
}

impl PoolManager {
    /// Creates a manager without pools.
    pub fn new(conf: &RouterConf, own: Member, incarnation: Incarnation) -> Self {
        let mut hosts: Vec<&String> = conf.peers.iter().map(|peer| &peer.host).collect();
        hosts.push(&conf.host);
        hosts.sort();
        let index = hosts.iter().position(|host| **host == conf.host);
        Self {
            own_host: own.host,
            own_domain: own.domain,
            incarnation,
            mode: conf.dispatch,
            host_index: to_u32(index.unwrap_or(0)),
            host_count: to_u32(hosts.len()),
            pools: BTreeMap::new(),
            static_shares: BTreeMap::new(),
            weights: Vec::new(),
            urgent_reserve_slots: 0,
            leaving: BTreeSet::new(),
            prefixes: Prefixes::default(),
            pending_grants: Vec::new(),
            pending_revocations: Vec::new(),
            waiting_since: BTreeMap::new(),
        }
    }

    /// Applies the declarations of a new configuration.
    pub fn apply_declarations(&mut self, now: Duration, declarations: &Declarations) {
        self.pools = update_pools(std::mem::take(&mut self.pools), declarations);
        self.urgent_reserve_slots = declarations.urgent_reserve_slots;
        self.weights = declarations
            .workspaces
            .iter()
            .map(|workspace| WorkspaceWeight {
                workspace: workspace.id(),
                weight: workspace.weight,
            })
            .collect();
        for model in &declarations.models {
            self.static_shares.entry(model.id()).or_default();
            self.waiting_since.entry(model.id()).or_insert(now);
        }
        self.configure_dispatchers_and_shares();
    }

    /// Records which hosts and engines the platform lists as leaving.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.configure_dispatchers_and_shares();
        }
    }

    /// Passes a report to the dispatcher of its pool, if this host runs it.
    pub fn on_report(
        &mut self,
        now: Duration,
        from: HostId,
        incarnation: Incarnation,
        report: &Report,
    ) {
        if let Some(dispatcher) = self.dispatcher(report.pool) {
            dispatcher.on_report(now, from, incarnation, report);
        }
    }

    /// Stores grants and revocations for the next round.
    pub fn on_grants(
        &mut self,
        now: Duration,
        from: HostId,
        incarnation: Incarnation,
        grants: &Grants,
    ) {
        let Some(pool) = self.pools.get_mut(&grants.pool) else {
            return;
        };
        let received = pool
            .reporter
            .on_grants(now, from, incarnation, self.incarnation, grants);
        self.pending_revocations.extend(received.revocations);
        let grants = received.grants.into_iter().map(|grant| PendingGrant {
            pool: grants.pool,
            grant,
        });
        self.pending_grants.extend(grants);
    }

    /// Applies a pool update from another dispatcher.
    pub fn on_pool_update(
        &mut self,
        now: Duration,
        from: HostId,
        incarnation: Incarnation,
        update: &PoolUpdate,
    ) {
        for pool in self.pools.values_mut() {
            if let Some(dispatcher) = &mut pool.dispatcher {
                dispatcher.on_pool_update(now, from, incarnation, update);
            }
        }
    }

    /// Merges a peer's rows into the dispatcher of their pool, if this host runs it.
    pub fn on_sync(&mut self, sync: &SyncMessage) {
        if let Some(dispatcher) = self.dispatcher(sync.pool) {
            dispatcher.on_sync(&sync.rows);
        }
    }

    /// Runs one round of decisions and returns what became of the grants.
    pub fn run_round(&mut self, now: Duration, round: &mut RoundContext<'_>) -> GrantCounts {
        let mut grant_counts = GrantCounts::default();
        if self.mode == DispatchMode::Shares {
            self.use_shares(now, round, None, &mut grant_counts);
            return grant_counts;
        }
        self.assign_roles(now, round.membership);
        self.use_grants(now, round, &mut grant_counts);
        self.report(now, round);
        self.dispatch(now, round);
        self.use_grants(now, round, &mut grant_counts);
        self.apply_revocations(round);
        self.use_fallback_shares(now, round, &mut grant_counts);
        grant_counts
    }

    /// Returns the status summed over this host's dispatchers.
    pub fn status(&self) -> DispatcherStatus {
        let mut total = DispatcherStatus::default();
        let dispatchers = self
            .pools
            .values()
            .filter_map(|pool| pool.dispatcher.as_ref());
        for status in dispatchers.map(Dispatcher::status) {
            total.slots += status.slots;
            total.free += status.free;
            total.slow_engines += status.slow_engines;
            total.waiting += status.waiting;
            total.granted += status.granted;
            total.granted_remote += status.granted_remote;
            total.revoked += status.revoked;
            total.reclaimed += status.reclaimed;
            total.rows_refused += status.rows_refused;
        }
        total
    }

    fn dispatcher(&mut self, pool: PoolId) -> Option<&mut Dispatcher> {
        self.pools.get_mut(&pool)?.dispatcher.as_mut()
    }

    /// Passes the declared weights, engines and urgent reserve to dispatchers and static shares.
    fn configure_dispatchers_and_shares(&mut self) {
        let leaving = &self.leaving;
        for pool in self.pools.values_mut() {
            let slots = pool.slots(|name| leaving.contains(name));
            if let Some(dispatcher) = &mut pool.dispatcher {
                dispatcher.set_workspaces(&self.weights);
                dispatcher.set_engines(&slots);
                dispatcher.set_urgent_reserve(self.urgent_reserve_slots);
            }
        }
        for (model, shares) in &mut self.static_shares {
            let home_only = self.mode == DispatchMode::Grants;
            let home = home_pool(&self.pools, *model, self.own_domain);
            let slots: Vec<_> = self
                .pools
                .iter()
                .filter(|(id, pool)| pool.model == *model && (!home_only || Some(**id) == home))
                .flat_map(|(_, pool)| pool.slots(|name| leaving.contains(name)))
                .collect();
            let divisor = if home_only { FALLBACK_DIVISOR } else { 1 };
            shares.set_engines(&slots, self.host_index, self.host_count * divisor);
            shares.set_workspaces(&self.weights);
        }
    }

    fn assign_roles(&mut self, now: Duration, membership: &Membership) {
        let mut has_new_dispatcher = false;
        for (id, pool) in &mut self.pools {
            let host = membership.dispatcher(now, *id, pool.domain);
            pool.reporter.set_dispatcher(host);
            if host != Some(self.own_host) {
                if pool.dispatcher.take().is_some() {
                    log::info!("pool {id:08x} is now dispatched by another host");
                }
            } else if pool.dispatcher.is_none() {
                log::info!("pool {id:08x} is now dispatched by this host");
                let tuning = Tuning::default();
                let dispatcher = Dispatcher::start(now, *id, pool.model, self.incarnation, tuning);
                pool.dispatcher = Some(dispatcher);
                has_new_dispatcher = true;
            }
        }
        if has_new_dispatcher {
            self.configure_dispatchers_and_shares();
        }
    }

    fn report(&mut self, now: Duration, round: &mut RoundContext<'_>) {
        let home_pools: BTreeMap<ModelId, Option<PoolId>> = self
            .static_shares
            .keys()
            .map(|model| (*model, home_pool(&self.pools, *model, self.own_domain)))
            .collect();
        for (id, pool) in &mut self.pools {
            let is_home = home_pools.get(&pool.model) == Some(&Some(*id));
            let state = pool_state(now, *id, pool, is_home, round);
            let Some(report) = pool.reporter.report(now, state) else {
                continue;
            };
            match (pool.reporter.dispatcher(), &mut pool.dispatcher) {
                (Some(host), Some(dispatcher)) if host == self.own_host => {
                    dispatcher.on_report(now, host, self.incarnation, &report);
                }
                (Some(host), _) => round.outbox.add(host, Message::Report(report)),
                (None, _) => {}
            }
        }
    }

    fn dispatch(&mut self, now: Duration, round: &mut RoundContext<'_>) {
        let mut actions = Vec::new();
        for pool in self.pools.values_mut() {
            if let Some(dispatcher) = &mut pool.dispatcher {
                actions.extend(dispatcher.tick(now));
            }
        }
        for action in actions {
            match action {
                Action::Grants { to, grants } if to == self.own_host => {
                    self.on_grants(now, to, self.incarnation, &grants);
                }
                Action::Grants { to, grants } => round.outbox.add(to, Message::Grants(grants)),
                Action::PoolUpdate(update) => self.send_pool_update(now, &update, round),
                Action::Sync { to, pool, rows } if to == self.own_host => {
                    self.on_sync(&SyncMessage { pool, rows });
                }
                Action::Sync { to, pool, rows } => {
                    let message = Message::Sync(SyncMessage { pool, rows });
                    round.outbox.add(to, message);
                }
            }
        }
    }

    /// Sends a pool update to the dispatchers of all other pools.
    fn send_pool_update(
        &mut self,
        now: Duration,
        update: &PoolUpdate,
        round: &mut RoundContext<'_>,
    ) {
        let hosts: BTreeSet<HostId> = self
            .pools
            .iter()
            .filter(|(id, _)| **id != update.pool)
            .filter_map(|(_, pool)| pool.reporter.dispatcher())
            .collect();
        for host in hosts {
            if host != self.own_host {
                round.outbox.add(host, Message::PoolUpdate(update.clone()));
            }
        }
        let own_host = self.own_host;
        let incarnation = self.incarnation;
        for (id, pool) in &mut self.pools {
            if let (true, Some(dispatcher)) = (*id != update.pool, &mut pool.dispatcher) {
                dispatcher.on_pool_update(now, own_host, incarnation, update);
            }
        }
    }
}
