//! A dispatcher's view of the pools of other dispatchers.

use {
    crate::{Ledger, PoolUpdate, PoolUpdateRow},
    baobab_unit::{HostId, Incarnation, ModelId, PoolId, Sequence, WorkspaceId, to_u32},
    std::{collections::BTreeMap, time::Duration},
};

/// Published state of a workspace in another pool.
#[derive(Debug, Clone, Copy)]
pub struct PeerRow {
    /// The row as published.
    pub row: PoolUpdateRow,
    /// Arrival time of the row.
    pub updated_at: Duration,
    /// Grants issued here to its requests since then.
    pub granted: u32,
}

/// Published state of another pool.
#[derive(Debug)]
pub struct PeerView {
    host: HostId,
    incarnation: Incarnation,
    number: Sequence,
    model: ModelId,
    stream_rate: f64,
    last_seen: Duration,
    rows: BTreeMap<WorkspaceId, PeerRow>,
}

/// One of `count` nearly equal partitions of a number of requests.
#[derive(Debug, Clone, Copy)]
pub struct Partition {
    index: u32,
    count: u32,
}

impl Partition {
    /// Returns the number of requests in this partition if there are `all` in total.
    pub fn share(self, all: u32) -> u32 {
        all / self.count + u32::from(self.index < all % self.count)
    }
}

/// Requests of a workspace that wait in another domain.
#[derive(Debug, Clone, Copy)]
pub struct RemoteWaiting<'a> {
    /// The pool of that domain.
    pub pool: PoolId,
    /// The workspace's row.
    pub entry: &'a PeerRow,
    /// The partition that this pool may grant.
    pub partition: Partition,
}

/// The views of all other pools.
#[derive(Debug, Default)]
pub struct Peers {
    views: BTreeMap<PoolId, PeerView>,
}

impl Peers {
    /// Applies a pool update. Returns the number of rows that were refused as implausible.
    pub fn apply(
        &mut self,
        now: Duration,
        host: HostId,
        incarnation: Incarnation,
        update: &PoolUpdate,
        ledger: &mut Ledger,
    ) -> u32 {
        let view = self.views.entry(update.pool).or_insert_with(|| PeerView {
            host,
            incarnation,
            number: 0,
            model: update.model,
            stream_rate: 0.0,
            last_seen: now,
            rows: BTreeMap::new(),
        });
        if view.host != host || view.incarnation < incarnation {
            view.host = host;
            view.incarnation = incarnation;
            view.number = 0;
            view.rows.clear();
        }
        let is_newest = view.number < update.number && view.incarnation == incarnation;
        if is_newest {
            view.number = update.number;
            view.last_seen = now;
            view.stream_rate = f64::from(update.stream_rate);
        }
        let mut refused = 0;
        for row in &update.rows {
            let is_merged = ledger.merge_tokens(update.pool, row.workspace, row.tokens)
                && ledger.merge_lift(row.workspace, row.lift);
            refused += u32::from(!is_merged);
            if is_newest && is_merged {
                view.rows.insert(
                    row.workspace,
                    PeerRow {
                        row: *row,
                        updated_at: now,
                        granted: 0,
                    },
                );
            }
        }
        refused
    }

    /// Drops the views of pools whose dispatchers sent no update for `silence`.
    pub fn drop_silent(&mut self, now: Duration, silence: Duration) {
        self.views.retain(|_, view| now <= view.last_seen + silence);
    }

    /// Returns the number of other pools of a model.
    pub fn count(&self, model: ModelId) -> u32 {
        to_u32(
            self.views
                .values()
                .filter(|view| view.model == model)
                .count(),
        )
    }

    /// Returns the tokens that a workspace receives in other pools between their last updates and
    /// `lookahead` from now.
    pub fn projected(&self, now: Duration, workspace: WorkspaceId, lookahead: Duration) -> f64 {
        self.views
            .values()
            .filter_map(|view| {
                let entry = view.rows.get(&workspace)?;
                let time = now.saturating_sub(entry.updated_at) + lookahead;
                Some(f64::from(entry.row.running) * view.stream_rate * time.as_secs_f64())
            })
            .sum()
    }

    /// Returns the total rate of all other pools, in tokens a second.
    pub fn rate(&self) -> f64 {
        self.views
            .values()
            .map(|view| {
                let running: u32 = view.rows.values().map(|entry| entry.row.running).sum();
                f64::from(running) * view.stream_rate
            })
            .sum()
    }

    /// Returns the workspaces with requests for a model that wait in other domains, each with the
    /// partition that the pool `own` may grant, so that no two dispatchers grant the same requests.
    pub fn waiting(&self, own: PoolId, model: ModelId) -> impl Iterator<Item = RemoteWaiting<'_>> {
        self.views
            .iter()
            .filter(move |(_, view)| view.model == model)
            .flat_map(move |(pool, view)| {
                let partition = self.partition_of(own, *pool, view);
                view.rows.values().map(move |entry| RemoteWaiting {
                    pool: *pool,
                    entry,
                    partition,
                })
            })
            .filter(|waiting| waiting.entry.row.waiting + waiting.entry.row.waiting_urgent > 0)
    }

    fn partition_of(&self, own: PoolId, pool: PoolId, view: &PeerView) -> Partition {
        let same_model = self
            .views
            .iter()
            .filter(|(id, other)| other.model == view.model && **id != pool)
            .map(|(id, _)| *id);
        let mut granting_pools: Vec<PoolId> = same_model.chain([own]).collect();
        granting_pools.sort_unstable();
        let index = granting_pools.iter().position(|id| *id == own).unwrap_or(0);
        let rotation = usize::try_from(view.number).unwrap_or(0) % granting_pools.len();
        Partition {
            index: to_u32((index + rotation) % granting_pools.len()),
            count: to_u32(granting_pools.len()),
        }
    }

    /// Records a grant to a request that another pool's dispatcher published.
    pub fn record_grant(&mut self, pool: PoolId, workspace: WorkspaceId) {
        let entry = self
            .views
            .get_mut(&pool)
            .and_then(|view| view.rows.get_mut(&workspace));
        if let Some(entry) = entry {
            entry.granted += 1;
        }
    }
}
