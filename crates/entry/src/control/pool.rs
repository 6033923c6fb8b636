//! One pool as this host sees it: what it reports, and the dispatcher where it has the role.

use {
    super::dispatching::Parts,
    baobab_conf::{Declarations, Engine},
    baobab_fair::{Dispatcher, EngineRow, EngineSlots, PoolState, Reporter, WorkspaceRow},
    baobab_unit::{DomainId, ModelId, PoolId, WorkspaceId, id_of},
    std::{collections::BTreeMap, time::Duration},
};

/// A pool.
#[derive(Debug)]
pub struct Pool {
    /// Its model.
    pub model: ModelId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its engines.
    pub engines: Vec<Engine>,
    /// Towards its dispatcher.
    pub reporter: Reporter,
    /// Its dispatcher, where this host has the role.
    pub dispatcher: Option<Dispatcher>,
}

impl Pool {
    /// Returns the engines' slots, given which engines the platform lists as leaving.
    pub fn slots(&self, is_leaving: impl Fn(&str) -> bool) -> Vec<EngineSlots> {
        self.engines
            .iter()
            .map(|engine| EngineSlots {
                engine: engine.id(),
                slots: engine.slots,
                leaving: is_leaving(&engine.name),
            })
            .collect()
    }
}

/// Arranges the declared engines into pools, keeping what the present ones know.
pub fn arrange(
    mut present: BTreeMap<PoolId, Pool>,
    declarations: &Declarations,
) -> BTreeMap<PoolId, Pool> {
    let mut pools: BTreeMap<PoolId, Pool> = BTreeMap::new();
    for engine in &declarations.engines {
        let id = engine.pool();
        let pool = pools.entry(id).or_insert_with(|| {
            let mut pool = present.remove(&id).unwrap_or_else(|| Pool {
                model: id_of(&engine.model),
                domain: engine.domain_id(),
                engines: Vec::new(),
                reporter: Reporter::start(id),
                dispatcher: None,
            });
            pool.engines.clear();
            pool
        });
        pool.engines.push(engine.clone());
    }
    pools
}

/// Returns the pool that requests of a model wait for on a host of this domain: the domain's own
/// one, or else the first.
pub fn home_pool(
    pools: &BTreeMap<PoolId, Pool>,
    model: ModelId,
    domain: DomainId,
) -> Option<PoolId> {
    let of_model = || pools.iter().filter(|(_, pool)| pool.model == model);
    of_model()
        .find(|(_, pool)| pool.domain == domain)
        .or_else(|| of_model().next())
        .map(|(id, _)| *id)
}

/// Returns what this router has to report to a pool.
pub fn pool_state(
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
