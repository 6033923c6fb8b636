//! Decisions on grants and revocations of slots.

use {
    super::{Dispatcher, estimate::round_up_tokens},
    crate::{
        Grant,
        ranking::{Candidate, Choice, GrantQueue, Offer, Ranking},
    },
    baobab_unit::{HostId, PoolId, WorkspaceId, to_u32},
    std::{collections::BTreeMap, time::Duration},
};

/// Lead, in requests of mean length, that a workspace may have before others are lifted or one of
/// its slots is revoked.
const LEAD_ALLOWANCE_REQUESTS: f64 = 4.0;

impl Dispatcher {
    /// Returns whether the interval since the last decision is over.
    ///
    /// Without free slots, decisions only track backlogs and revoke slots. The interval grows with
    /// the number of offers, so that decisions cost the same fraction of a core in large pools.
    pub(super) fn is_decision_due(&self, now: Duration) -> bool {
        if self.engines.free_total(&self.routers) == 0 {
            return now >= self.last_decision + self.tuning.no_free_slot_interval;
        }
        now >= self.last_decision + self.tuning.interval_per_offer * self.offer_count
    }

    pub(super) fn decide(&mut self, now: Duration) {
        let mut ranking = self.rank(now);
        let offers = ranking
            .candidates
            .iter()
            .map(|entry| entry.offers.len())
            .sum();
        self.offer_count = to_u32(offers);
        self.apply_lifts(now, &mut ranking);
        self.grant_slots(now, &mut ranking);
        self.revoke(now, &ranking);
    }

    /// Revokes a slot if a workspace with streams leads a backlogged one by more than `revoke_lead`
    /// and the lead allowance.
    pub(super) fn revoke(&mut self, now: Duration, ranking: &Ranking) {
        let rate_per_weight = ranking.urgent_credit / self.tuning.urgent_credit.as_secs_f64();
        let lead = self.tuning.revoke_lead.as_secs_f64() * rate_per_weight;
        let behind = self.backlogs.furthest_behind(&ranking.candidates);
        let (Some(behind), true) = (behind, self.revoker.is_due(now)) else {
            return;
        };
        let allowance = self.mean_request_tokens() * LEAD_ALLOWANCE_REQUESTS;
        let ahead = self
            .routers
            .tallies()
            .iter()
            .filter(|(_, tally)| tally.running > 0)
            .filter_map(|(workspace, _)| {
                let weight = f64::from(*self.weights.get(workspace)?);
                let position = (self.projected(now, *workspace) - allowance) / weight;
                Some((*workspace, position))
            })
            .max_by(|one, other| one.1.total_cmp(&other.1));
        let Some((workspace, position)) = ahead else {
            return;
        };
        if position > behind + lead
            && let Some(revocation) = self.revoker.choose(now, workspace, &self.routers)
        {
            self.status.revoked += 1;
            self.due_revocations.push(revocation);
        }
    }

    pub(super) fn grant_slots(&mut self, now: Duration, ranking: &mut Ranking) {
        let free = self.engines.free_total(&self.routers);
        let reserve = self.tuning.urgent_reserve_slots;
        self.grant_up_to(now, ranking, false, free.saturating_sub(reserve));
        self.grant_up_to(now, ranking, true, free.min(reserve));
    }

    pub(super) fn grant_up_to(
        &mut self,
        now: Duration,
        ranking: &mut Ranking,
        urgent_only: bool,
        slots: u32,
    ) {
        if slots == 0 {
            return;
        }
        let mut queue = ranking.grant_queue(urgent_only);
        for _ in 0..slots {
            let Some(choice) = queue.pop() else {
                return;
            };
            if !self.grant(now, ranking, &mut queue, choice) {
                return;
            }
        }
    }

    /// Grants a slot to the chosen offer. Returns whether an engine had a free slot for it.
    pub(super) fn grant(
        &mut self,
        now: Duration,
        ranking: &mut Ranking,
        queue: &mut GrantQueue,
        choice: Choice,
    ) -> bool {
        let candidate = &ranking.candidates[choice.candidate];
        let workspace = candidate.workspace;
        let offer = candidate.offers[choice.offer];
        let router = self.routers.view(offer.router);
        let Some(engine) = self.engines.least_loaded(&self.routers, router) else {
            return false;
        };
        let grant = Grant {
            number: 0,
            engine,
            workspace,
            urgent_only: choice.urgent_only,
            valid: self.tuning.grant_valid,
        };
        self.backlogs.record_service(candidate.received);
        self.routers.grant(now, offer.router, grant);
        if let Some(pool) = offer.remote {
            self.peers.record_grant(pool, workspace);
            self.status.granted_remote += 1;
        }
        self.status.granted += 1;
        let peers = self.peers.count(self.model);
        self.anticipated_grants.record(now, workspace);
        ranking.charge(
            queue,
            choice,
            self.lookahead_tokens() * f64::from(1 + peers),
        );
        true
    }

    pub(super) fn rank(&self, now: Duration) -> Ranking {
        let mut offers: BTreeMap<WorkspaceId, Vec<Offer>> = BTreeMap::new();
        for (workspace, offer) in self.local_offers(now).chain(self.remote_offers(now)) {
            offers.entry(workspace).or_default().push(offer);
        }
        let allowance = self.mean_request_tokens() * LEAD_ALLOWANCE_REQUESTS;
        let candidates: Vec<Candidate> = offers
            .into_iter()
            .filter_map(|(workspace, offers)| {
                let weight = f64::from(*self.weights.get(&workspace)?);
                Some(Candidate {
                    workspace,
                    weight,
                    position: self.projected(now, workspace) / weight,
                    received: self.ledger.level(workspace) as f64 / weight,
                    received_less_allowance: (self.ledger.level(workspace) as f64 - allowance)
                        / weight,
                    offers,
                })
            })
            .collect();
        let weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let rate_per_weight = self.fleet_rate / weight.max(1.0);
        Ranking {
            candidates,
            urgent_credit: self.tuning.urgent_credit.as_secs_f64() * rate_per_weight,
            locality_credit: self.tuning.locality_credit.as_secs_f64() * rate_per_weight,
        }
    }

    pub(super) fn local_offers(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (WorkspaceId, Offer)> + '_ {
        let responsive_routers = self
            .routers
            .views()
            .filter(move |(_, view)| !view.is_unresponsive(now));
        responsive_routers.flat_map(|(router, view)| {
            view.workspaces()
                .filter(|row| row.waiting + row.waiting_urgent > 0)
                .map(move |row| {
                    let granted = view.outstanding_for(row.workspace);
                    let offer =
                        remaining_offer(router, None, row.waiting_urgent, row.waiting, granted);
                    (row.workspace, offer)
                })
        })
    }

    pub(super) fn remote_offers(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (WorkspaceId, Offer)> + '_ {
        let is_responsive = move |router| {
            let view = self.routers.view(router);
            !view.is_some_and(|view| view.is_unresponsive(now))
        };
        let waiting = self.peers.waiting(self.pool, self.model);
        let reachable = waiting.filter(move |waiting| is_responsive(waiting.entry.row.router));
        reachable.map(|waiting| {
            let row = waiting.entry.row;
            let offer = remaining_offer(
                row.router,
                Some(waiting.pool),
                waiting.partition.share(row.waiting_urgent),
                waiting.partition.share(row.waiting),
                waiting.entry.granted,
            );
            (row.workspace, offer)
        })
    }

    /// Lifts workspaces that return from idle, and those that lag by more than they may catch up.
    pub(super) fn apply_lifts(&mut self, now: Duration, ranking: &mut Ranking) {
        let rate_per_weight = ranking.urgent_credit / self.tuning.urgent_credit.as_secs_f64();
        let catch_up = self.tuning.catch_up.as_secs_f64() * rate_per_weight;
        let lifts = self
            .backlogs
            .update(now, &ranking.candidates, catch_up, &self.tuning);
        for lift in lifts {
            let candidate = &mut ranking.candidates[lift.candidate];
            let deficit = (lift.position - candidate.position) * candidate.weight;
            candidate.position = lift.position;
            let level = self.ledger.level(candidate.workspace) + round_up_tokens(deficit);
            self.ledger.lift_to(candidate.workspace, level);
        }
    }
}

fn remaining_offer(
    router: HostId,
    remote: Option<PoolId>,
    waiting_urgent: u32,
    waiting: u32,
    granted: u32,
) -> Offer {
    let urgent = waiting_urgent.saturating_sub(granted);
    let granted_other = granted.saturating_sub(waiting_urgent);
    Offer {
        router,
        remote,
        urgent,
        other: waiting.saturating_sub(granted_other),
    }
}
