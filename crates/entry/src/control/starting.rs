//! Use of grants: which waiting request takes a slot, and which stream gives one back.

use {
    super::{
        Go, Turn,
        dispatching::{Dispatching, Outcomes, Parts, Received},
        pool::home_pool,
        streams::Stream,
    },
    baobab_fair::{Grant, Waiting},
    baobab_unit::{EngineId, ModelId, PoolId},
    std::{sync::Arc, time::Duration},
};

/// Silence of the dispatcher after which waiting requests use this router's own cautious share.
const FALLBACK_AFTER: Duration = Duration::from_millis(2500);
/// Time that a slot from the router's own share stays valid.
const SHARE_VALID: Duration = Duration::from_millis(500);

impl Dispatching {
    /// Stops the streams whose slots are taken back; each tells when it has stopped.
    pub(super) fn give_back(&mut self, parts: &mut Parts<'_>) {
        for revocation in std::mem::take(&mut self.revoked) {
            parts
                .streams
                .revoke(revocation.engine, revocation.workspace);
        }
    }

    pub(super) fn use_grants(
        &mut self,
        now: Duration,
        parts: &mut Parts<'_>,
        outcomes: &mut Outcomes,
    ) {
        for Received { pool, grant } in std::mem::take(&mut self.received) {
            if self.start(now, pool, &grant, parts) {
                outcomes.used += 1;
            } else {
                outcomes.declined += 1;
            }
        }
    }

    /// Uses this router's own share while the home dispatcher of a model is silent.
    pub(super) fn fall_back(
        &mut self,
        now: Duration,
        parts: &mut Parts<'_>,
        outcomes: &mut Outcomes,
    ) {
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
            let last_heard = home_pool(&self.pools, model, self.own_domain)
                .and_then(|id| self.pools.get(&id))
                .and_then(|pool| pool.reporter.last_heard())
                .unwrap_or_default();
            if now > last_heard.max(since) + FALLBACK_AFTER {
                self.use_shares(now, parts, Some(model), outcomes);
            }
        }
    }

    pub(super) fn use_shares(
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

    pub(super) fn pool_of(&self, engine: EngineId) -> Option<PoolId> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.engines.iter().any(|entry| entry.id() == engine))
            .map(|(id, _)| *id)
    }

    /// Gives a granted slot to a waiting request. Returns whether it was used.
    pub(super) fn start(
        &mut self,
        now: Duration,
        id: PoolId,
        grant: &Grant,
        parts: &mut Parts<'_>,
    ) -> bool {
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
