//! Roles and grants of this host over all pools.

use {
    super::{
        health::Health,
        outbox::Outbox,
        pool::{Pool, arrange, home_pool, pool_state},
        prefixes::Prefixes,
        queue::Queue,
        streams::Streams,
    },
    baobab_conf::{Declarations, DispatchMode, RouterConf},
    baobab_fair::{
        Action, Dispatcher, DispatcherStatus, Grant, Grants, PoolUpdate, Report, Revocation,
        Shares, Tuning, WorkspaceWeight,
    },
    baobab_fleet::{Member, Membership},
    baobab_unit::{DomainId, HostId, Incarnation, ModelId, PoolId, to_u32},
    baobab_wire::{Message, SyncMessage},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Part of its share that a router uses while it hears no dispatcher.
const FALLBACK_DIVISOR: u32 = 2;

/// The parts of the control thread that decisions read and change.
pub struct Parts<'a> {
    pub membership: &'a Membership,
    pub outbox: &'a mut Outbox,
    pub queue: &'a mut Queue,
    pub streams: &'a mut Streams,
    pub health: &'a Health,
}

/// What became of the grants of one round.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub(super) used: u64,
    pub(super) declined: u64,
    pub(super) local_share: u64,
}

impl Outcomes {
    /// Returns the counts by name.
    pub fn outcomes(&self) -> [(&'static str, u64); 3] {
        [
            ("used", self.used),
            ("declined", self.declined),
            ("local_share", self.local_share),
        ]
    }
}

/// A grant that has arrived and waits for the round's end.
#[derive(Debug, Clone, Copy)]
pub(super) struct Received {
    pub(super) pool: PoolId,
    pub(super) grant: Grant,
}

/// Roles and grants of this host.
pub struct Dispatching {
    pub(super) own: HostId,
    pub(super) own_domain: DomainId,
    pub(super) incarnation: Incarnation,
    pub(super) mode: DispatchMode,
    pub(super) host_index: u32,
    pub(super) host_count: u32,
    pub(super) pools: BTreeMap<PoolId, Pool>,
    pub(super) shares: BTreeMap<ModelId, Shares>,
    pub(super) weights: Vec<WorkspaceWeight>,
    pub(super) urgent_reserve_slots: u32,
    pub(super) leaving: BTreeSet<String>,
    pub(super) prefixes: Prefixes,
    pub(super) received: Vec<Received>,
    pub(super) revoked: Vec<Revocation>,
    pub(super) waiting_since: BTreeMap<ModelId, Duration>,
}

impl Dispatching {
    /// Starts without any pool.
    pub fn new(conf: &RouterConf, own: Member, incarnation: Incarnation) -> Self {
        let mut hosts: Vec<&String> = conf.peers.iter().map(|peer| &peer.host).collect();
        hosts.push(&conf.host);
        hosts.sort();
        let index = hosts.iter().position(|host| **host == conf.host);
        Self {
            own: own.host,
            own_domain: own.domain,
            incarnation,
            mode: conf.dispatch,
            host_index: to_u32(index.unwrap_or(0)),
            host_count: to_u32(hosts.len()),
            pools: BTreeMap::new(),
            shares: BTreeMap::new(),
            weights: Vec::new(),
            urgent_reserve_slots: 0,
            leaving: BTreeSet::new(),
            prefixes: Prefixes::default(),
            received: Vec::new(),
            revoked: Vec::new(),
            waiting_since: BTreeMap::new(),
        }
    }

    /// Takes a configuration in.
    pub fn declare(&mut self, now: Duration, declarations: &Declarations) {
        self.pools = arrange(std::mem::take(&mut self.pools), declarations);
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
            self.shares.entry(model.id()).or_default();
            self.waiting_since.entry(model.id()).or_insert(now);
        }
        self.apply_declared();
    }

    /// Takes in which hosts and engines the platform lists as leaving.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        if self.leaving != leaving {
            self.leaving = leaving;
            self.apply_declared();
        }
    }

    /// Takes a report to one of this host's dispatchers in.
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

    /// Takes grants in.
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
        self.revoked.extend(received.revocations);
        let grants = received.grants.into_iter().map(|grant| Received {
            pool: grants.pool,
            grant,
        });
        self.received.extend(grants);
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

    /// Takes in what a peer knows of one of this host's pools.
    pub fn on_sync(&mut self, sync: &SyncMessage) {
        if let Some(dispatcher) = self.dispatcher(sync.pool) {
            dispatcher.on_sync(&sync.rows);
        }
    }

    /// Makes one round of decisions.
    pub fn round(&mut self, now: Duration, parts: &mut Parts<'_>) -> Outcomes {
        let mut outcomes = Outcomes::default();
        if self.mode == DispatchMode::Shares {
            self.use_shares(now, parts, None, &mut outcomes);
            return outcomes;
        }
        self.assign_roles(now, parts.membership);
        self.use_grants(now, parts, &mut outcomes);
        self.report(now, parts);
        self.dispatch(now, parts);
        self.use_grants(now, parts, &mut outcomes);
        self.give_back(parts);
        self.fall_back(now, parts, &mut outcomes);
        outcomes
    }

    /// Returns the sums over this host's dispatchers.
    pub fn status(&self) -> DispatcherStatus {
        let mut sum = DispatcherStatus::default();
        let dispatchers = self
            .pools
            .values()
            .filter_map(|pool| pool.dispatcher.as_ref());
        for status in dispatchers.map(Dispatcher::status) {
            sum.slots += status.slots;
            sum.free += status.free;
            sum.slow_engines += status.slow_engines;
            sum.waiting += status.waiting;
            sum.granted += status.granted;
            sum.granted_remote += status.granted_remote;
            sum.revoked += status.revoked;
            sum.reclaimed += status.reclaimed;
            sum.rows_refused += status.rows_refused;
        }
        sum
    }

    fn dispatcher(&mut self, pool: PoolId) -> Option<&mut Dispatcher> {
        self.pools.get_mut(&pool)?.dispatcher.as_mut()
    }

    /// Hands the declared weights, engines and reserves to dispatchers and shares.
    fn apply_declared(&mut self) {
        let leaving = &self.leaving;
        for pool in self.pools.values_mut() {
            let slots = pool.slots(|name| leaving.contains(name));
            if let Some(dispatcher) = &mut pool.dispatcher {
                dispatcher.set_workspaces(&self.weights);
                dispatcher.set_engines(&slots);
                dispatcher.set_urgent_reserve(self.urgent_reserve_slots);
            }
        }
        for (model, shares) in &mut self.shares {
            let local_only = self.mode == DispatchMode::Grants;
            let home = home_pool(&self.pools, *model, self.own_domain);
            let slots: Vec<_> = self
                .pools
                .iter()
                .filter(|(id, pool)| pool.model == *model && (!local_only || Some(**id) == home))
                .flat_map(|(_, pool)| pool.slots(|name| leaving.contains(name)))
                .collect();
            let divisor = if local_only { FALLBACK_DIVISOR } else { 1 };
            shares.set_engines(&slots, self.host_index, self.host_count * divisor);
            shares.set_workspaces(&self.weights);
        }
    }

    fn assign_roles(&mut self, now: Duration, membership: &Membership) {
        let mut is_new = false;
        for (id, pool) in &mut self.pools {
            let host = membership.dispatcher(now, *id, pool.domain);
            pool.reporter.set_dispatcher(host);
            if host != Some(self.own) {
                if pool.dispatcher.take().is_some() {
                    log::info!("pool {id:08x} is now dispatched by another host");
                }
            } else if pool.dispatcher.is_none() {
                log::info!("pool {id:08x} is now dispatched by this host");
                let tuning = Tuning::default();
                let dispatcher = Dispatcher::start(now, *id, pool.model, self.incarnation, tuning);
                pool.dispatcher = Some(dispatcher);
                is_new = true;
            }
        }
        if is_new {
            self.apply_declared();
        }
    }

    fn report(&mut self, now: Duration, parts: &mut Parts<'_>) {
        let homes: BTreeMap<ModelId, Option<PoolId>> = self
            .shares
            .keys()
            .map(|model| (*model, home_pool(&self.pools, *model, self.own_domain)))
            .collect();
        for (id, pool) in &mut self.pools {
            let is_home = homes.get(&pool.model) == Some(&Some(*id));
            let state = pool_state(now, *id, pool, is_home, parts);
            let Some(report) = pool.reporter.report(now, state) else {
                continue;
            };
            match (pool.reporter.dispatcher(), &mut pool.dispatcher) {
                (Some(host), Some(dispatcher)) if host == self.own => {
                    dispatcher.on_report(now, host, self.incarnation, &report);
                }
                (Some(host), _) => parts.outbox.add(host, Message::Report(report)),
                (None, _) => {}
            }
        }
    }

    fn dispatch(&mut self, now: Duration, parts: &mut Parts<'_>) {
        let mut actions = Vec::new();
        for pool in self.pools.values_mut() {
            if let Some(dispatcher) = &mut pool.dispatcher {
                actions.extend(dispatcher.tick(now));
            }
        }
        for action in actions {
            match action {
                Action::Grants { to, grants } if to == self.own => {
                    self.on_grants(now, to, self.incarnation, &grants);
                }
                Action::Grants { to, grants } => parts.outbox.add(to, Message::Grants(grants)),
                Action::PoolUpdate(update) => self.tell(now, &update, parts),
                Action::Sync { to, pool, rows } if to == self.own => {
                    self.on_sync(&SyncMessage { pool, rows });
                }
                Action::Sync { to, pool, rows } => {
                    let message = Message::Sync(SyncMessage { pool, rows });
                    parts.outbox.add(to, message);
                }
            }
        }
    }

    /// Tells the dispatchers of all other pools.
    fn tell(&mut self, now: Duration, update: &PoolUpdate, parts: &mut Parts<'_>) {
        let hosts: BTreeSet<HostId> = self
            .pools
            .iter()
            .filter(|(id, _)| **id != update.pool)
            .filter_map(|(_, pool)| pool.reporter.dispatcher())
            .collect();
        for host in hosts {
            if host != self.own {
                parts.outbox.add(host, Message::PoolUpdate(update.clone()));
            }
        }
        let own = self.own;
        let incarnation = self.incarnation;
        for (id, pool) in &mut self.pools {
            if let (true, Some(dispatcher)) = (*id != update.pool, &mut pool.dispatcher) {
                dispatcher.on_pool_update(now, own, incarnation, update);
            }
        }
    }
}
