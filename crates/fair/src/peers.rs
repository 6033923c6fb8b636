//! What a dispatcher knows of the pools of other dispatchers.

use {
    crate::{Ledger, PoolUpdate, PoolUpdateRow},
    baobab_unit::{HostId, Incarnation, ModelId, PoolId, Sequence, WorkspaceId, to_u32},
    std::{collections::BTreeMap, time::Duration},
};

/// A workspace in another pool.
#[derive(Debug, Clone, Copy)]
pub struct PeerRow {
    /// What its dispatcher told.
    pub row: PoolUpdateRow,
    /// When it was told.
    pub told: Duration,
    /// Grants given to its requests since then.
    pub taken: u32,
}

/// Another pool.
#[derive(Debug)]
pub struct PeerView {
    host: HostId,
    incarnation: Incarnation,
    number: Sequence,
    model: ModelId,
    stream_rate: f64,
    heard: Duration,
    rows: BTreeMap<WorkspaceId, PeerRow>,
}

/// Which part of a number of requests falls to one of several pools.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    index: u32,
    count: u32,
}

impl Part {
    /// Returns the requests that fall to the pool, out of all.
    pub fn of(self, all: u32) -> u32 {
        all / self.count + u32::from(self.index < all % self.count)
    }
}

/// Requests of a workspace that wait in another domain.
#[derive(Debug, Clone, Copy)]
pub struct RemoteWaiting<'a> {
    /// The domain's pool.
    pub pool: PoolId,
    /// The workspace's row.
    pub entry: &'a PeerRow,
    /// The part that may be granted here.
    pub part: Part,
}

/// All other pools.
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
            heard: now,
            rows: BTreeMap::new(),
        });
        if view.host != host || view.incarnation < incarnation {
            view.host = host;
            view.incarnation = incarnation;
            view.number = 0;
            view.rows.clear();
        }
        let newest = view.number < update.number && view.incarnation == incarnation;
        if newest {
            view.number = update.number;
            view.heard = now;
            view.stream_rate = f64::from(update.stream_rate);
        }
        let mut refused = 0;
        for row in &update.rows {
            let merged = ledger.merge_tokens(update.pool, row.workspace, row.tokens)
                && ledger.merge_lift(row.workspace, row.lift);
            refused += u32::from(!merged);
            if newest && merged {
                view.rows.insert(
                    row.workspace,
                    PeerRow {
                        row: *row,
                        told: now,
                        taken: 0,
                    },
                );
            }
        }
        refused
    }

    /// Forgets what pools have running and waiting whose dispatchers were silent for too long.
    pub fn drop_silent(&mut self, now: Duration, silence: Duration) {
        self.views.retain(|_, view| now <= view.heard + silence);
    }

    /// Other pools of a model.
    pub fn count(&self, model: ModelId) -> u32 {
        to_u32(
            self.views
                .values()
                .filter(|view| view.model == model)
                .count(),
        )
    }

    /// Tokens that a workspace has received since its pools told, and will have soon.
    pub fn projected(&self, now: Duration, workspace: WorkspaceId, lookahead: Duration) -> f64 {
        self.views
            .values()
            .filter_map(|view| {
                let entry = view.rows.get(&workspace)?;
                let time = now.saturating_sub(entry.told) + lookahead;
                Some(f64::from(entry.row.running) * view.stream_rate * time.as_secs_f64())
            })
            .sum()
    }

    /// Tokens a second that all other pools serve.
    pub fn rate(&self) -> f64 {
        self.views
            .values()
            .map(|view| {
                let running: u32 = view.rows.values().map(|entry| entry.row.running).sum();
                f64::from(running) * view.stream_rate
            })
            .sum()
    }

    /// Workspaces with requests that wait in other domains for a model, and the part of them that
    /// a pool may grant, so that the others' dispatchers don't grant the same ones.
    pub fn waiting(&self, own: PoolId, model: ModelId) -> impl Iterator<Item = RemoteWaiting<'_>> {
        self.views
            .iter()
            .filter(move |(_, view)| view.model == model)
            .flat_map(move |(pool, view)| {
                let part = self.part_of(own, *pool, view);
                view.rows.values().map(move |entry| RemoteWaiting {
                    pool: *pool,
                    entry,
                    part,
                })
            })
            .filter(|waiting| waiting.entry.row.waiting + waiting.entry.row.waiting_urgent > 0)
    }

    fn part_of(&self, own: PoolId, pool: PoolId, view: &PeerView) -> Part {
        let same_model = self
            .views
            .iter()
            .filter(|(id, other)| other.model == view.model && **id != pool)
            .map(|(id, _)| *id);
        let mut takers: Vec<PoolId> = same_model.chain([own]).collect();
        takers.sort_unstable();
        let index = takers.iter().position(|id| *id == own).unwrap_or(0);
        let turn = usize::try_from(view.number).unwrap_or(0) % takers.len();
        Part {
            index: to_u32((index + turn) % takers.len()),
            count: to_u32(takers.len()),
        }
    }

    /// Counts a grant to a request that another pool's dispatcher told of.
    pub fn take(&mut self, pool: PoolId, workspace: WorkspaceId) {
        let entry = self
            .views
            .get_mut(&pool)
            .and_then(|view| view.rows.get_mut(&workspace));
        if let Some(entry) = entry {
            entry.taken += 1;
        }
    }
}
