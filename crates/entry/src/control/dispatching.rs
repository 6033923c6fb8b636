//! Roles and grants of this host over all pools.

use {
    super::{
        Go, Turn,
        health::Health,
        outbox::Outbox,
        pool::{Pool, arrange, home_pool},
        prefixes::Prefixes,
        queue::Queue,
        streams::{Stream, Streams},
    },
    baobab_conf::{Declarations, DispatchMode, RouterConf},
    baobab_fair::{
        Action, Dispatcher, DispatcherStatus, EngineRow, Grant, Grants, News, PoolState, Report,
        Revocation, Shares, Tuning, Waiting, WorkspaceRow, WorkspaceWeight,
    },
    baobab_fleet::{Member, Membership},
    baobab_unit::{DomainId, EngineId, HostId, Incarnation, ModelId, PoolId, WorkspaceId, to_u32},
    baobab_wire::{Message, SyncMessage},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Silence of the dispatcher after which waiting requests use this router's own cautious share.
const FALLBACK_AFTER: Duration = Duration::from_millis(2500);
/// Part of its share that a router uses while it hears no dispatcher.
const FALLBACK_DIVISOR: u32 = 2;
/// Time that a slot from the router's own share stays valid.
const SHARE_VALID: Duration = Duration::from_millis(500);

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
    used: u64,
    declined: u64,
    local_share: u64,
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
struct Received {
    pool: PoolId,
    grant: Grant,
}

/// Roles and grants of this host.
pub struct Dispatching {
    own: HostId,
    own_domain: DomainId,
    incarnation: Incarnation,
    mode: DispatchMode,
    host_index: u32,
    host_count: u32,
    pools: BTreeMap<PoolId, Pool>,
    shares: BTreeMap<ModelId, Shares>,
    weights: Vec<WorkspaceWeight>,
    urgent_reserve_slots: u32,
    leaving: BTreeSet<String>,
    prefixes: Prefixes,
    received: Vec<Received>,
    revoked: Vec<Revocation>,
    waiting_since: BTreeMap<ModelId, Duration>,
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

    /// Takes a dispatcher's news in.
    pub fn on_news(&mut self, now: Duration, from: HostId, incarnation: Incarnation, news: &News) {
        for pool in self.pools.values_mut() {
            if let Some(dispatcher) = &mut pool.dispatcher {
                dispatcher.on_news(now, from, incarnation, news);
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
                Action::News(news) => self.tell(now, &news, parts),
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
    fn tell(&mut self, now: Duration, news: &News, parts: &mut Parts<'_>) {
        let hosts: BTreeSet<HostId> = self
            .pools
            .iter()
            .filter(|(id, _)| **id != news.pool)
            .filter_map(|(_, pool)| pool.reporter.dispatcher())
            .collect();
        for host in hosts {
            if host != self.own {
                parts.outbox.add(host, Message::News(news.clone()));
            }
        }
        let own = self.own;
        let incarnation = self.incarnation;
        for (id, pool) in &mut self.pools {
            if let (true, Some(dispatcher)) = (*id != news.pool, &mut pool.dispatcher) {
                dispatcher.on_news(now, own, incarnation, news);
            }
        }
    }

    /// Stops the streams whose slots are taken back; each tells when it has stopped.
    fn give_back(&mut self, parts: &mut Parts<'_>) {
        for revocation in std::mem::take(&mut self.revoked) {
            parts
                .streams
                .revoke(revocation.engine, revocation.workspace);
        }
    }

    fn use_grants(&mut self, now: Duration, parts: &mut Parts<'_>, outcomes: &mut Outcomes) {
        for Received { pool, grant } in std::mem::take(&mut self.received) {
            if self.start(now, pool, &grant, parts) {
                outcomes.used += 1;
            } else {
                outcomes.declined += 1;
            }
        }
    }

    /// Uses this router's own share while the home dispatcher of a model is silent.
    fn fall_back(&mut self, now: Duration, parts: &mut Parts<'_>, outcomes: &mut Outcomes) {
        let models: Vec<ModelId> = self.shares.keys().copied().collect();
        for model in models {
            let waits = parts
                .queue
                .counts(model)
                .any(|(_, counts)| counts.urgent + counts.other > 0);
            let since = self.waiting_since.entry(model).or_insert(now);
            if !waits {
                *since = now;
            }
            let since = *since;
            let heard = home_pool(&self.pools, model, self.own_domain)
                .and_then(|id| self.pools.get(&id))
                .and_then(|pool| pool.reporter.heard())
                .unwrap_or_default();
            if now > heard.max(since) + FALLBACK_AFTER {
                self.use_shares(now, parts, Some(model), outcomes);
            }
        }
    }

    fn use_shares(
        &mut self,
        now: Duration,
        parts: &mut Parts<'_>,
        only: Option<ModelId>,
        outcomes: &mut Outcomes,
    ) {
        let mut grants = Vec::new();
        let in_use = parts.streams.in_use();
        for (model, shares) in &mut self.shares {
            if only.is_some_and(|only| only != *model) {
                continue;
            }
            let waiting = waiting_of(*model, parts);
            if !waiting.is_empty() {
                grants.extend(shares.grant(&waiting, &in_use));
            }
        }
        for share in grants {
            let pool = self.pool_of(share.engine);
            let grant = Grant {
                number: 0,
                engine: share.engine,
                workspace: share.workspace,
                urgent_only: false,
                valid: SHARE_VALID,
            };
            if pool.is_some_and(|pool| self.start(now, pool, &grant, parts)) {
                outcomes.local_share += 1;
            }
        }
    }

    fn pool_of(&self, engine: EngineId) -> Option<PoolId> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.engines.iter().any(|entry| entry.id() == engine))
            .map(|(id, _)| *id)
    }

    /// Gives a granted slot to a waiting request. Returns whether it was used.
    fn start(&mut self, now: Duration, id: PoolId, grant: &Grant, parts: &mut Parts<'_>) -> bool {
        let Some(pool) = self.pools.get(&id) else {
            return false;
        };
        let engine = pool
            .engines
            .iter()
            .find(|engine| engine.id() == grant.engine && !self.leaving.contains(&engine.name));
        let Some(engine) = engine else {
            return false;
        };
        if parts.health.is_failing(now, grant.engine) {
            return false;
        }
        loop {
            let arrival = parts.queue.pop(
                now,
                pool.model,
                grant.workspace,
                grant.urgent_only,
                |prefix| self.prefixes.contains(grant.engine, prefix),
            );
            let Some(arrival) = arrival else {
                return false;
            };
            let stream = Stream::new(id, grant.engine, grant.workspace, arrival.rank);
            let go = Go {
                engine_name: engine.name.clone(),
                address: engine.address,
                expires: now + grant.valid,
                progress: Arc::clone(&stream.progress),
                revoked: Arc::clone(&stream.revoked),
            };
            if arrival.turn.send(Turn::Go(go)).is_err() {
                // Its caller has just gone; the next one takes the slot.
                continue;
            }
            self.prefixes.add(grant.engine, arrival.prefix);
            parts.streams.start(arrival.id, stream);
            return true;
        }
    }
}

fn pool_state(
    now: Duration,
    id: PoolId,
    pool: &Pool,
    is_home: bool,
    parts: &Parts<'_>,
) -> PoolState {
    let mut rows: BTreeMap<WorkspaceId, WorkspaceRow> = BTreeMap::new();
    for (workspace, tokens) in parts.streams.workspace_tokens(id) {
        rows.entry(workspace)
            .or_insert_with(|| empty(workspace))
            .tokens = tokens;
    }
    if is_home {
        for (workspace, counts) in parts.queue.counts(pool.model) {
            let row = rows.entry(workspace).or_insert_with(|| empty(workspace));
            row.waiting_urgent = counts.urgent;
            row.waiting = counts.other;
        }
    }
    let engines = pool
        .engines
        .iter()
        .map(|engine| EngineRow {
            engine: engine.id(),
            tokens: parts.streams.engine_tokens(id, engine.id()),
            failing: parts.health.is_failing(now, engine.id()),
        })
        .collect();
    PoolState {
        workspaces: rows.into_values().collect(),
        streams: parts.streams.rows(id),
        engines,
        is_home,
    }
}

fn empty(workspace: WorkspaceId) -> WorkspaceRow {
    WorkspaceRow {
        workspace,
        waiting_urgent: 0,
        waiting: 0,
        tokens: 0,
    }
}

fn waiting_of(model: ModelId, parts: &Parts<'_>) -> Vec<Waiting> {
    parts
        .queue
        .counts(model)
        .map(|(workspace, counts)| Waiting {
            workspace,
            count: counts.urgent + counts.other,
            tokens: parts.streams.tokens_of(workspace),
        })
        .filter(|waiting| waiting.count > 0)
        .collect()
}
