//! Decisions: who is granted a free slot, and who gives one back.

use {
    super::{Dispatcher, estimate::whole_tokens},
    crate::{
        Grant,
        ranking::{Candidate, Choice, Offer, Order, Ranking},
    },
    baobab_unit::{HostId, PoolId, WorkspaceId, to_u32},
    std::{collections::BTreeMap, time::Duration},
};

/// Requests of average length that a workspace may be ahead by before others are lifted.
const GRANULE_REQUESTS: f64 = 4.0;

impl Dispatcher {
    /// With no slot free, decisions only keep track of backlogs and take slots back. Large pools
    /// decide less often, so that what they cost stays the same part of a core.
    pub(super) fn is_decision_due(&self, now: Duration) -> bool {
        if self.engines.free_total(&self.routers) == 0 {
            return now >= self.decided + self.tuning.idle_round;
        }
        now >= self.decided + self.tuning.round_for_each_offer * self.offers
    }

    pub(super) fn decide(&mut self, now: Duration) {
        let mut ranking = self.rank(now);
        let offers = ranking
            .candidates
            .iter()
            .map(|entry| entry.offers.len())
            .sum();
        self.offers = to_u32(offers);
        self.lift(now, &mut ranking);
        self.grant_slots(now, &mut ranking);
        self.revoke(now, &ranking);
    }

    /// Takes a slot back where a workspace with streams is far ahead of one that is backlogged.
    pub(super) fn revoke(&mut self, now: Duration, ranking: &Ranking) {
        let second = ranking.urgent_credit / self.tuning.urgent_credit.as_secs_f64();
        let lead = self.tuning.revoke_lead.as_secs_f64() * second;
        let behind = self.backlogs.furthest_behind(&ranking.candidates);
        let (Some(behind), true) = (behind, self.revoking.is_due(now)) else {
            return;
        };
        let granule = self.request_tokens() * GRANULE_REQUESTS;
        let ahead = self
            .routers
            .tallies()
            .iter()
            .filter(|(_, tally)| tally.running > 0)
            .filter_map(|(workspace, _)| {
                let weight = f64::from(*self.weights.get(workspace)?);
                let position = (self.projected(now, *workspace) - granule) / weight;
                Some((*workspace, position))
            })
            .max_by(|one, other| one.1.total_cmp(&other.1));
        let Some((workspace, position)) = ahead else {
            return;
        };
        if position > behind + lead
            && let Some(action) = self.revoking.choose(now, workspace, &self.routers)
        {
            self.status.revoked += 1;
            self.revocations.push(action);
        }
    }

    pub(super) fn grant_slots(&mut self, now: Duration, ranking: &mut Ranking) {
        let free = self.engines.free_total(&self.routers);
        let reserve = self.tuning.urgent_reserve_slots;
        self.give(now, ranking, false, free.saturating_sub(reserve));
        self.give(now, ranking, true, free.min(reserve));
    }

    pub(super) fn give(
        &mut self,
        now: Duration,
        ranking: &mut Ranking,
        urgent_only: bool,
        slots: u32,
    ) {
        if slots == 0 {
            return;
        }
        let mut order = ranking.order(urgent_only);
        for _ in 0..slots {
            let Some(choice) = order.pop() else {
                return;
            };
            if !self.grant(now, ranking, &mut order, choice) {
                return;
            }
        }
    }

    pub(super) fn grant(
        &mut self,
        now: Duration,
        ranking: &mut Ranking,
        order: &mut Order,
        choice: Choice,
    ) -> bool {
        let candidate = &ranking.candidates[choice.candidate];
        let workspace = candidate.workspace;
        let offer = candidate.offers[choice.offer];
        let router = self.routers.view(offer.router);
        let Some(engine) = self.engines.freest(&self.routers, router) else {
            return false;
        };
        let grant = Grant {
            number: 0,
            engine,
            workspace,
            urgent_only: choice.urgent_only,
            valid: self.tuning.grant_valid,
        };
        self.backlogs.served(candidate.received);
        self.routers.grant(now, offer.router, grant);
        if let Some(pool) = offer.remote {
            self.peers.take(pool, workspace);
            self.status.granted_remote += 1;
        }
        self.status.granted += 1;
        let peers = self.peers.count(self.model);
        self.anticipated.add(now, workspace);
        ranking.take(order, choice, self.charge_ahead() * f64::from(1 + peers));
        true
    }

    pub(super) fn rank(&self, now: Duration) -> Ranking {
        let mut offers: BTreeMap<WorkspaceId, Vec<Offer>> = BTreeMap::new();
        for (workspace, offer) in self.local_offers(now).chain(self.remote_offers(now)) {
            offers.entry(workspace).or_default().push(offer);
        }
        let granule = self.request_tokens() * GRANULE_REQUESTS;
        let candidates: Vec<Candidate> = offers
            .into_iter()
            .filter_map(|(workspace, offers)| {
                let weight = f64::from(*self.weights.get(&workspace)?);
                Some(Candidate {
                    workspace,
                    weight,
                    position: self.projected(now, workspace) / weight,
                    received: self.ledger.level(workspace) as f64 / weight,
                    served: (self.ledger.level(workspace) as f64 - granule) / weight,
                    offers,
                })
            })
            .collect();
        let weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
        let second = self.fleet_rate / weight.max(1.0);
        Ranking {
            candidates,
            urgent_credit: self.tuning.urgent_credit.as_secs_f64() * second,
            locality_credit: self.tuning.locality_credit.as_secs_f64() * second,
        }
    }

    pub(super) fn local_offers(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (WorkspaceId, Offer)> + '_ {
        let responsive = self
            .routers
            .views()
            .filter(move |(_, view)| !view.is_unresponsive(now));
        responsive.flat_map(|(router, view)| {
            view.workspaces()
                .filter(|row| row.waiting + row.waiting_urgent > 0)
                .map(move |row| {
                    let taken = view.outstanding_for(row.workspace);
                    let offer = offer(router, None, row.waiting_urgent, row.waiting, taken);
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
            let offer = offer(
                row.router,
                Some(waiting.pool),
                waiting.part.of(row.waiting_urgent),
                waiting.part.of(row.waiting),
                waiting.entry.taken,
            );
            (row.workspace, offer)
        })
    }

    /// Lifts workspaces that come back from idle, and limits what the others may catch up.
    pub(super) fn lift(&mut self, now: Duration, ranking: &mut Ranking) {
        let second = ranking.urgent_credit / self.tuning.urgent_credit.as_secs_f64();
        let catch_up = self.tuning.catch_up.as_secs_f64() * second;
        let lifts = self
            .backlogs
            .update(now, &ranking.candidates, catch_up, &self.tuning);
        for lift in lifts {
            let candidate = &mut ranking.candidates[lift.candidate];
            let missing = (lift.position - candidate.position) * candidate.weight;
            candidate.position = lift.position;
            let level = self.ledger.level(candidate.workspace) + whole_tokens(missing);
            self.ledger.lift_to(candidate.workspace, level);
        }
    }
}

fn offer(
    router: HostId,
    remote: Option<PoolId>,
    waiting_urgent: u32,
    waiting: u32,
    taken: u32,
) -> Offer {
    let urgent = waiting_urgent.saturating_sub(taken);
    let taken_other = taken.saturating_sub(waiting_urgent);
    Offer {
        router,
        remote,
        urgent,
        other: waiting.saturating_sub(taken_other),
    }
}
