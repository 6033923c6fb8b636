//! Static shares: each router's fixed share of every engine's slots. Baseline for comparisons, and
//! fallback without a dispatcher.

use {
    crate::{EngineSlots, WorkspaceWeight},
    baobab_unit::{EngineId, Token, WorkspaceId},
    std::collections::BTreeMap,
};

/// Requests of a workspace that wait on this router.
#[derive(Debug, Clone, Copy)]
pub struct Waiting {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Waiting requests.
    pub count: u32,
    /// Tokens that the workspace has received through this router.
    pub tokens: Token,
}

/// This router's use of one engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineUsage {
    /// The engine.
    pub engine: EngineId,
    /// Running streams of this router.
    pub running: u32,
}

/// A slot granted to a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareGrant {
    /// The engine.
    pub engine: EngineId,
    /// The workspace.
    pub workspace: WorkspaceId,
}

/// This router's share of every engine's slots.
#[derive(Debug, Default)]
pub struct StaticShares {
    quotas: BTreeMap<EngineId, u32>,
    weights: BTreeMap<WorkspaceId, u32>,
    lifts: BTreeMap<WorkspaceId, f64>,
    active: Vec<WorkspaceId>,
}

impl StaticShares {
    /// Splits the slots of every engine between `routers`, of which this is the `index`th. The
    /// remainder is assigned round-robin over routers, so that all slots are used.
    pub fn set_engines(&mut self, engines: &[EngineSlots], index: u32, routers: u32) {
        let routers = routers.max(1);
        self.quotas.clear();
        for (position, engine) in engines.iter().enumerate() {
            if engine.leaving {
                continue;
            }
            let offset = (index + baobab_unit::to_u32(position)) % routers;
            let extra = u32::from(offset < engine.slots % routers);
            self.quotas
                .insert(engine.engine, engine.slots / routers + extra);
        }
    }

    /// Sets the declared workspaces.
    pub fn set_workspaces(&mut self, workspaces: &[WorkspaceWeight]) {
        self.weights = workspaces
            .iter()
            .map(|entry| (entry.workspace, entry.weight))
            .collect();
    }

    /// Grants the share's free slots to the waiting workspaces that are furthest behind on this
    /// router.
    #[must_use]
    pub fn grant(&mut self, waiting: &[Waiting], in_use: &[EngineUsage]) -> Vec<ShareGrant> {
        let mut free = self.free(in_use);
        let mut queue = self.queue_entries(waiting);
        let mut grants = Vec::new();
        while let Some((engine, remaining)) = free.iter_mut().find(|(_, remaining)| *remaining > 0)
        {
            let next = queue
                .iter_mut()
                .filter(|entry| entry.remaining > 0)
                .min_by(|one, other| one.position.total_cmp(&other.position));
            let Some(next) = next else {
                break;
            };
            next.remaining -= 1;
            next.position += next.cost;
            *remaining -= 1;
            grants.push(ShareGrant {
                engine: *engine,
                workspace: next.workspace,
            });
        }
        grants
    }

    fn free(&self, in_use: &[EngineUsage]) -> Vec<(EngineId, u32)> {
        self.quotas
            .iter()
            .map(|(engine, quota)| {
                let running = in_use
                    .iter()
                    .find(|entry| entry.engine == *engine)
                    .map_or(0, |entry| entry.running);
                (*engine, quota.saturating_sub(running))
            })
            .collect()
    }

    fn queue_entries(&mut self, waiting: &[Waiting]) -> Vec<Queued> {
        let present: Vec<WorkspaceId> = waiting.iter().map(|entry| entry.workspace).collect();
        let floor = waiting
            .iter()
            .filter(|entry| self.active.contains(&entry.workspace))
            .map(|entry| self.position(entry))
            .min_by(f64::total_cmp);
        let mut queue = Vec::new();
        for entry in waiting {
            let position = self.position(entry);
            let is_returning = !self.active.contains(&entry.workspace);
            let deficit = floor.map_or(0.0, |floor| floor - position);
            if is_returning && deficit > 0.0 {
                *self.lifts.entry(entry.workspace).or_default() += deficit;
            }
            queue.push(Queued {
                workspace: entry.workspace,
                remaining: entry.count,
                position: self.position(entry),
                cost: ASSUMED_REQUEST_TOKENS / self.weight(entry.workspace),
            });
        }
        self.active = present;
        queue
    }

    fn position(&self, entry: &Waiting) -> f64 {
        let lift = self.lifts.get(&entry.workspace).copied().unwrap_or(0.0);
        entry.tokens as f64 / self.weight(entry.workspace) + lift
    }

    fn weight(&self, workspace: WorkspaceId) -> f64 {
        self.weights
            .get(&workspace)
            .map_or(1.0, |weight| f64::from(*weight))
    }
}

/// Tokens charged for a request until its actual tokens are counted.
const ASSUMED_REQUEST_TOKENS: f64 = 40.0;

#[derive(Debug)]
struct Queued {
    workspace: WorkspaceId,
    remaining: u32,
    position: f64,
    cost: f64,
}
