//! This host's view of one pool: its reports, and its dispatcher if this host has that role.

use {
    super::pool_manager::RoundContext,
    baobab_conf::{Declarations, Engine},
    baobab_fair::{Dispatcher, EngineRow, EngineSlots, PoolState, Reporter, WorkspaceRow},
    baobab_unit::{DomainId, ModelId, PoolId, WorkspaceId, id_of},
    std::{collections::BTreeMap, time::Duration},
};

/// The engines of one model in one failure domain.
#[derive(Debug)]
pub struct Pool {
    /// Model that the engines serve.
    pub model: ModelId,
    /// Failure domain of the engines.
    pub domain: DomainId,
    /// Engines as declared.
    pub engines: Vec<Engine>,
    /// Reports to its dispatcher and receives its grants.
    pub reporter: Reporter,
    /// Its dispatcher, if this host has that role.
    pub dispatcher: Option<Dispatcher>,
}

impl Pool {
    /// Returns the slots of each engine and whether the platform lists it as leaving.
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

/// Groups the declared engines into pools, keeping the state of pools that exist already.
pub fn update_pools(
    mut current: BTreeMap<PoolId, Pool>,
    declarations: &Declarations,
) -> BTreeMap<PoolId, Pool> {
    let mut pools: BTreeMap<PoolId, Pool> = BTreeMap::new();
    for engine in &declarations.engines {
        let id = engine.pool();
        let pool = pools.entry(id).or_insert_with(|| {
            let mut pool = current.remove(&id).unwrap_or_else(|| Pool {
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

/// Returns the pool to which a host of this domain reports its waiting requests of a model: the
/// pool of its own domain, or else the first one.
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

/// Returns the state that this router reports to the dispatcher of a pool.
pub fn pool_state(
    now: Duration,
    id: PoolId,
    pool: &Pool,
    is_home: bool,
    round: &RoundContext<'_>,
) -> PoolState {
    let mut rows: BTreeMap<WorkspaceId, WorkspaceRow> = BTreeMap::new();
    for (workspace, tokens) in round.streams.workspace_tokens(id) {
        rows.entry(workspace)
            .or_insert_with(|| empty_row(workspace))
            .tokens = tokens;
    }
    if is_home {
        for (workspace, counts) in round.queue.counts(pool.model) {
            let row = rows
                .entry(workspace)
                .or_insert_with(|| empty_row(workspace));
            row.waiting_urgent = counts.urgent;
            row.waiting = counts.other;
        }
    }
    let engines = pool
        .engines
        .iter()
        .map(|engine| EngineRow {
            engine: engine.id(),
            tokens: round.streams.engine_tokens(id, engine.id()),
            failing: round.health.is_ejected(now, engine.id()),
        })
        .collect();
    PoolState {
        workspaces: rows.into_values().collect(),
        streams: round.streams.rows(id),
        engines,
        is_home,
    }
}

fn empty_row(workspace: WorkspaceId) -> WorkspaceRow {
    WorkspaceRow {
        workspace,
        waiting_urgent: 0,
        waiting: 0,
        tokens: 0,
    }
}
