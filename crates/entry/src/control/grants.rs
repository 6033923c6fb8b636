//! Assigns granted slots to waiting requests, and applies revocations to streams.

use {
    super::{
        QueueReply, SlotGrant,
        pool::home_pool,
        pool_manager::{GrantCounts, PendingGrant, PoolManager, RoundContext},
        streams::Stream,
    },
    baobab_fair::{Grant, Waiting},
    baobab_unit::{EngineId, ModelId, PoolId},
    std::{sync::Arc, time::Duration},
};

/// Silence of the dispatcher, while requests wait, after which they use this router's reduced
/// share.
const FALLBACK_DELAY: Duration = Duration::from_millis(2500);
/// Time for which a grant from the router's own share is valid.
const SHARE_GRANT_VALIDITY: Duration = Duration::from_millis(500);

impl PoolManager {
    /// Signals streams whose slots are revoked to stop. Each reports its end by a command.
    pub(super) fn apply_revocations(&mut self, round: &mut RoundContext<'_>) {
        for revocation in std::mem::take(&mut self.pending_revocations) {
            round
                .streams
                .revoke(revocation.engine, revocation.workspace);
        }
    }

    /// Assigns all pending grants to waiting requests.
    pub(super) fn use_grants(
        &mut self,
        now: Duration,
        round: &mut RoundContext<'_>,
        grant_counts: &mut GrantCounts,
    ) {
        for PendingGrant { pool, grant } in std::mem::take(&mut self.pending_grants) {
            if self.use_grant(now, pool, &grant, round) {
                grant_counts.used += 1;
            } else {
                grant_counts.declined += 1;
            }
        }
    }

    /// Uses this router's own share of a model while the dispatcher of its home pool is silent.
    pub(super) fn use_fallback_shares(
        &mut self,
        now: Duration,
        round: &mut RoundContext<'_>,
        grant_counts: &mut GrantCounts,
    ) {
        let models: Vec<ModelId> = self.static_shares.keys().copied().collect();
        for model in models {
            let is_waiting = round
                .queue
                .counts(model)
                .any(|(_, counts)| counts.urgent + counts.other > 0);
            let waiting_since = self.waiting_since.entry(model).or_insert(now);
            if !is_waiting {
                *waiting_since = now;
            }
            let waiting_since = *waiting_since;
            let last_message_at = home_pool(&self.pools, model, self.own_domain)
                .and_then(|pool_id| self.pools.get(&pool_id))
                .and_then(|pool| pool.reporter.last_message_at())
                .unwrap_or_default();
            if now > last_message_at.max(waiting_since) + FALLBACK_DELAY {
                self.use_shares(now, round, Some(model), grant_counts);
            }
        }
    }

    /// Uses this router's own share of one model, or of every model if `only` is `None`.
    pub(super) fn use_shares(
        &mut self,
        now: Duration,
        round: &mut RoundContext<'_>,
        only: Option<ModelId>,
        grant_counts: &mut GrantCounts,
    ) {
        let mut grants = Vec::new();
        let engine_usage = round.streams.engine_usage();
        for (model, shares) in &mut self.static_shares {
            if only.is_some_and(|only| only != *model) {
                continue;
            }
            let waiting = waiting_by_workspace(*model, round);
            if !waiting.is_empty() {
                grants.extend(shares.grant(&waiting, &engine_usage));
            }
        }
        for share in grants {
            let pool = self.pool_of(share.engine);
            let grant = Grant {
                number: 0,
                engine: share.engine,
                workspace: share.workspace,
                urgent_only: false,
                valid: SHARE_GRANT_VALIDITY,
            };
            if pool.is_some_and(|pool| self.use_grant(now, pool, &grant, round)) {
                grant_counts.local_share += 1;
            }
        }
    }

    pub(super) fn pool_of(&self, engine: EngineId) -> Option<PoolId> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.engines.iter().any(|entry| entry.id() == engine))
            .map(|(pool_id, _)| *pool_id)
    }

    /// Assigns a granted slot to a waiting request. Returns whether the slot was used.
    pub(super) fn use_grant(
        &mut self,
        now: Duration,
        pool_id: PoolId,
        grant: &Grant,
        round: &mut RoundContext<'_>,
    ) -> bool {
        let Some(pool) = self.pools.get(&pool_id) else {
            return false;
        };
        let engine = pool
            .engines
            .iter()
            .find(|engine| engine.id() == grant.engine && !self.leaving.contains(&engine.name));
        let Some(engine) = engine else {
            return false;
        };
        if round.health.is_ejected(now, grant.engine) {
            return false;
        }
        loop {
            let request = round.queue.pop(
                now,
                pool.model,
                grant.workspace,
                grant.urgent_only,
                |prefix| self.prefixes.contains(grant.engine, prefix),
            );
            let Some(request) = request else {
                return false;
            };
            let stream = Stream::new(pool_id, grant.engine, grant.workspace, request.rank);
            let slot_grant = SlotGrant {
                engine_name: engine.name.clone(),
                address: engine.address,
                expires: now + grant.valid,
                progress: Arc::clone(&stream.progress),
                revoked: Arc::clone(&stream.revoked),
            };
            if request.reply.send(QueueReply::Granted(slot_grant)).is_err() {
                // Its caller has just gone, so the next request gets the slot.
                continue;
            }
            self.prefixes.record(grant.engine, request.prefix);
            round.streams.start(request.id, stream);
            return true;
        }
    }
}

fn waiting_by_workspace(model: ModelId, round: &RoundContext<'_>) -> Vec<Waiting> {
    round
        .queue
        .counts(model)
        .map(|(workspace, counts)| Waiting {
            workspace,
            count: counts.urgent + counts.other,
            tokens: round.streams.tokens_of(workspace),
        })
        .filter(|waiting| waiting.count > 0)
        .collect()
}
