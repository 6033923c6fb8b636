//! The dispatcher of one pool: gives free slots to the workspaces that are furthest behind.

use {
    crate::{
        EngineSlots, Grant, Grants, Ledger, News, NewsRow, Report, Revocation, SyncRow, Tuning,
        WorkspaceWeight,
        anticipated::Anticipated,
        backlog::Backlogs,
        engines::Engines,
        peers::Peers,
        ranking::{Candidate, Choice, Offer, Order, Ranking},
        revoking::{Chosen, Revoking},
        routers::{RouterView, Routers, Tally},
        standing::Standing,
        told::Told,
    },
    baobab_unit::{HostId, Incarnation, ModelId, PoolId, Sequence, Token, WorkspaceId, to_u32},
    std::{collections::BTreeMap, time::Duration},
};

/// Tokens a second that a stream is assumed to receive before anything was measured.
const ASSUMED_STREAM_RATE: f64 = 20.0;
/// Time over which the fleet's rate is averaged.
const RATE_PERIOD: Duration = Duration::from_secs(3);
/// Requests of average length that a workspace may be ahead by before others are lifted.
const GRANULE_REQUESTS: f64 = 4.0;
/// Age up to which a dispatcher counts as new: it may not know what its predecessor served.
const NEW_FOR: Duration = Duration::from_secs(3);

/// What the dispatcher wants sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Grants to a router.
    Grants {
        /// The router.
        to: HostId,
        /// The message.
        grants: Grants,
    },
    /// News to the dispatchers of all other pools.
    News(News),
    /// What is known of another pool, to its new dispatcher.
    Sync {
        /// The dispatcher's host.
        to: HostId,
        /// Its pool.
        pool: PoolId,
        /// The rows.
        rows: Vec<SyncRow>,
    },
}

/// Figures for operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DispatcherStatus {
    /// Slots of engines that take work.
    pub slots: u32,
    /// Free ones among them.
    pub free: u32,
    /// Engines that are given fewer streams because they are slow.
    pub slow_engines: u32,
    /// Requests waiting in the pool's own domain.
    pub waiting: u32,
    /// Grants given.
    pub granted: u64,
    /// Grants given to requests of other domains.
    pub granted_remote: u64,
    /// Slots taken back from running streams.
    pub revoked: u64,
    /// Grants whose slots were freed unanswered.
    pub reclaimed: u64,
    /// Rows of peers that were refused as implausible.
    pub rows_refused: u64,
}

/// The dispatcher of one pool.
#[derive(Debug)]
pub struct Dispatcher {
    pool: PoolId,
    model: ModelId,
    incarnation: Incarnation,
    tuning: Tuning,
    started: Duration,
    decided: Duration,
    offers: u32,
    weights: BTreeMap<WorkspaceId, u32>,
    engines: Engines,
    routers: Routers,
    peers: Peers,
    ledger: Ledger,
    backlogs: Backlogs,
    told: Told,
    revoking: Revoking,
    revocations: Vec<Chosen>,
    anticipated: Anticipated,
    standing: Standing,
    news_number: Sequence,
    fleet_rate: f64,
    rate_measured: Duration,
    served_tokens: Token,
    status: DispatcherStatus,
    pending: Vec<Action>,
}

impl Dispatcher {
    /// Starts the dispatcher of a pool with nothing known.
    #[must_use]
    pub fn start(
        now: Duration,
        pool: PoolId,
        model: ModelId,
        incarnation: Incarnation,
        tuning: Tuning,
    ) -> Self {
        let mut engines = Engines::default();
        engines.assume_rate(ASSUMED_STREAM_RATE);
        Self {
            pool,
            model,
            incarnation,
            tuning,
            started: now,
            decided: now,
            offers: 0,
            weights: BTreeMap::new(),
            engines,
            routers: Routers::default(),
            peers: Peers::default(),
            ledger: Ledger::default(),
            backlogs: Backlogs::default(),
            told: Told::default(),
            revoking: Revoking::default(),
            revocations: Vec::new(),
            anticipated: Anticipated::default(),
            standing: Standing::default(),
            news_number: 0,
            fleet_rate: ASSUMED_STREAM_RATE,
            rate_measured: now,
            served_tokens: 0,
            status: DispatcherStatus::default(),
            pending: Vec::new(),
        }
    }

    /// Sets the declared workspaces.
    pub fn set_workspaces(&mut self, workspaces: &[WorkspaceWeight]) {
        self.weights = workspaces
            .iter()
            .map(|entry| (entry.workspace, entry.weight))
            .collect();
        let weights = &self.weights;
        self.ledger
            .retain(|workspace| weights.contains_key(&workspace));
    }

    /// Sets the pool's engines.
    pub fn set_engines(&mut self, engines: &[EngineSlots]) {
        self.engines.set(engines);
    }

    /// Sets the slots that are kept for urgent requests.
    pub fn set_urgent_reserve(&mut self, slots: u32) {
        self.tuning.urgent_reserve_slots = slots;
    }

    /// Takes a router's report in.
    pub fn on_report(
        &mut self,
        now: Duration,
        from: HostId,
        incarnation: Incarnation,
        report: &Report,
    ) {
        let growth = self
            .routers
            .apply(now, from, incarnation, report, self.incarnation);
        let Some(growth) = growth else {
            return;
        };
        for (workspace, tokens) in growth.workspaces {
            if self.weights.contains_key(&workspace) {
                self.ledger.charge(self.pool, workspace, tokens);
                self.served_tokens += tokens;
            }
        }
        for (engine, tokens) in growth.engines {
            self.engines.charge(engine, tokens);
        }
    }

    /// Takes another dispatcher's news in.
    pub fn on_news(&mut self, now: Duration, from: HostId, incarnation: Incarnation, news: &News) {
        if news.pool == self.pool {
            // Another dispatcher for this pool: its counters are merged, its streams are not.
            for row in &news.rows {
                self.merge(row.workspace, row.tokens, row.lift);
            }
            return;
        }
        let refused = self
            .peers
            .apply(now, from, incarnation, news, &mut self.ledger);
        self.status.rows_refused += u64::from(refused);
        if news.wants_sync {
            self.pending.push(Action::Sync {
                to: from,
                pool: news.pool,
                rows: self.sync_rows(news.pool),
            });
        }
    }

    /// Takes in what a peer knows of this pool from before this dispatcher started.
    pub fn on_sync(&mut self, rows: &[SyncRow]) {
        for row in rows {
            self.merge(row.workspace, row.tokens, row.lift);
        }
    }

    /// Drops a router that is known to be gone, with its streams and grants.
    pub fn on_router_gone(&mut self, host: HostId) {
        self.routers.remove(host);
    }

    /// Decides what to grant and what to tell. To be called every few milliseconds and after news.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.routers.drop_silent(now, self.tuning.router_silence);
        self.peers.drop_silent(now, self.tuning.news_valid);
        let reclaimed = self.routers.reclaim(now, self.tuning.grant_reclaim);
        self.status.reclaimed += u64::from(reclaimed);
        self.engines.measure(now, &self.routers);
        self.measure_rate(now);
        self.anticipated.update(now, self.peers.count(self.model));
        self.standing.update(now, self.routers.tallies());
        if now >= self.started + self.tuning.settle && self.is_decision_due(now) {
            self.decided = now;
            self.decide(now);
        }
        let mut actions = std::mem::take(&mut self.pending);
        self.send_grants(now, &mut actions);
        self.send_news(now, &mut actions);
        actions
    }

    /// Returns figures for operators.
    #[must_use]
    pub fn status(&self) -> DispatcherStatus {
        DispatcherStatus {
            slots: self.engines.slots_total(),
            free: self.engines.free_total(&self.routers),
            slow_engines: self.engines.slow_total(),
            waiting: self
                .routers
                .tallies()
                .values()
                .map(Tally::waiting_total)
                .sum(),
            ..self.status
        }
    }

    /// Returns the service counters.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    fn merge(&mut self, workspace: WorkspaceId, tokens: Token, lift: Token) {
        let merged = self.ledger.merge_tokens(self.pool, workspace, tokens)
            && self.ledger.merge_lift(workspace, lift);
        self.status.rows_refused += u64::from(!merged);
    }

    fn sync_rows(&self, pool: PoolId) -> Vec<SyncRow> {
        self.ledger
            .workspaces(pool)
            .map(|workspace| SyncRow {
                workspace,
                tokens: self.ledger.tokens(pool, workspace),
                lift: self.ledger.lift(workspace),
            })
            .collect()
    }

    /// Averages the fleet's rate over a while: at single moments few streams may run.
    fn measure_rate(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.rate_measured).as_secs_f64();
        self.rate_measured = now;
        let gain = (elapsed / RATE_PERIOD.as_secs_f64()).min(1.0);
        self.fleet_rate += (self.present_rate() - self.fleet_rate) * gain;
        // Whatever the average says, this pool alone can serve as much.
        let capacity = f64::from(self.engines.slots_total()) * self.engines.stream_rate();
        self.fleet_rate = self.fleet_rate.max(capacity);
    }

    fn present_rate(&self) -> f64 {
        let running: u32 = self
            .routers
            .tallies()
            .values()
            .map(|tally| tally.running)
            .sum();
        let own = f64::from(running) * self.engines.stream_rate();
        (own + self.peers.rate()).max(self.engines.stream_rate())
    }

    /// Tokens of a request, on average.
    fn request_tokens(&self) -> f64 {
        let requests = self.status.granted.max(1) as f64;
        (self.served_tokens as f64 / requests).max(self.charge_ahead())
    }

    /// Tokens that a stream is charged ahead when it is granted.
    fn charge_ahead(&self) -> f64 {
        self.engines.stream_rate() * self.tuning.lookahead.as_secs_f64()
    }

    /// Service of a workspace, with what its running streams will receive soon.
    fn projected(&self, now: Duration, workspace: WorkspaceId) -> f64 {
        let tally = self.routers.tally(workspace);
        let streams = f64::from(tally.running + tally.outstanding);
        self.ledger.level(workspace) as f64
            + streams * self.charge_ahead()
            + self.anticipated.grants(workspace) * self.charge_ahead()
            + self.peers.projected(now, workspace, self.tuning.lookahead)
    }

    /// With no slot free, decisions only keep track of backlogs and take slots back. Large pools
    /// decide less often, so that what they cost stays the same part of a core.
    fn is_decision_due(&self, now: Duration) -> bool {
        if self.engines.free_total(&self.routers) == 0 {
            return now >= self.decided + self.tuning.idle_round;
        }
        now >= self.decided + self.tuning.round_for_each_offer * self.offers
    }

    fn decide(&mut self, now: Duration) {
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
    fn revoke(&mut self, now: Duration, ranking: &Ranking) {
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

    fn grant_slots(&mut self, now: Duration, ranking: &mut Ranking) {
        let free = self.engines.free_total(&self.routers);
        let reserve = self.tuning.urgent_reserve_slots;
        self.give(now, ranking, false, free.saturating_sub(reserve));
        self.give(now, ranking, true, free.min(reserve));
    }

    fn give(&mut self, now: Duration, ranking: &mut Ranking, urgent_only: bool, slots: u32) {
        if slots == 0 {
            return;
        }
        let mut order = ranking.order(urgent_only);
        for _ in 0..slots {
            let Some(choice) = ranking.choose(&mut order) else {
                return;
            };
            if !self.grant(now, ranking, &mut order, choice) {
                return;
            }
        }
    }

    fn grant(
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

    fn rank(&self, now: Duration) -> Ranking {
        let mut offers: BTreeMap<WorkspaceId, Vec<Offer>> = BTreeMap::new();
        for (workspace, offer) in self.local_offers().chain(self.remote_offers()) {
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

    fn local_offers(&self) -> impl Iterator<Item = (WorkspaceId, Offer)> + '_ {
        let responsive = self
            .routers
            .views()
            .filter(|(_, view)| !view.is_unresponsive());
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

    fn remote_offers(&self) -> impl Iterator<Item = (WorkspaceId, Offer)> + '_ {
        let is_responsive = |router| {
            let view = self.routers.view(router);
            !view.is_some_and(RouterView::is_unresponsive)
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
    fn lift(&mut self, now: Duration, ranking: &mut Ranking) {
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

    fn send_grants(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (repeat, valid) = (self.tuning.grant_repeat, self.tuning.grant_valid);
        let pool = self.pool;
        let revocations = std::mem::take(&mut self.revocations);
        for (host, view) in self.routers.views_mut() {
            let grants = view.due_grants(now, repeat, valid);
            let revocations: Vec<Revocation> = revocations
                .iter()
                .filter(|chosen| chosen.router == host)
                .map(|chosen| chosen.revocation)
                .collect();
            let has_news = !grants.is_empty() || !revocations.is_empty();
            if !has_news && !view.is_answer_due(now, self.tuning.answer_delay) {
                continue;
            }
            view.answered();
            actions.push(Action::Grants {
                to: host,
                grants: Grants {
                    pool,
                    router_incarnation: view.incarnation(),
                    applied: view.applied(),
                    router_time: view.router_time(now),
                    grants,
                    revocations,
                },
            });
        }
    }

    fn send_news(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.told.is_spaced(now, &self.tuning) {
            return;
        }
        let rows = self.news_rows();
        let share_rate = self.share_rate();
        let due = self.told.due(
            now,
            rows,
            self.engines.stream_rate(),
            share_rate,
            &self.tuning,
        );
        if due.is_empty() {
            return;
        }
        let due = due.into_iter().map(|row| self.with_router(row)).collect();
        self.news_number += 1;
        actions.push(Action::News(News {
            pool: self.pool,
            model: self.model,
            number: self.news_number,
            wants_sync: now < self.started + NEW_FOR,
            stream_rate: whole_rate(self.engines.stream_rate()),
            rows: due,
        }));
    }

    /// Tokens a second that one unit of weight is due.
    fn share_rate(&self) -> f64 {
        let weight: u32 = self
            .routers
            .tallies()
            .iter()
            .filter(|(_, tally)| tally.running + tally.waiting_total() > 0)
            .filter_map(|(workspace, _)| self.weights.get(workspace))
            .sum();
        self.fleet_rate / f64::from(weight.max(1))
    }

    fn news_rows(&self) -> Vec<(NewsRow, f64)> {
        self.routers
            .tallies()
            .iter()
            .filter_map(|(workspace, tally)| {
                let weight = f64::from(*self.weights.get(workspace)?);
                let standing = self.standing.of(*workspace);
                let row = NewsRow {
                    workspace: *workspace,
                    tokens: self.ledger.tokens(self.pool, *workspace),
                    lift: self.ledger.lift(*workspace),
                    running: tally.running + tally.outstanding,
                    waiting_urgent: standing.urgent,
                    waiting: standing.other,
                    router: 0,
                };
                Some((row, weight))
            })
            .collect()
    }

    /// Names the router where most of the workspace's requests wait.
    fn with_router(&self, row: NewsRow) -> NewsRow {
        if row.waiting + row.waiting_urgent == 0 {
            return row;
        }
        let fullest = self
            .routers
            .views()
            .filter_map(|(host, view)| Some((view.waiting_of(row.workspace)?, host)))
            .max();
        NewsRow {
            router: fullest.map_or(0, |(_, host)| host),
            ..row
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

/// Rounds a non-negative number of tokens up.
fn whole_tokens(tokens: f64) -> Token {
    // A float's cast to an integer saturates.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let whole = tokens.max(0.0).ceil() as Token;
    whole
}

fn whole_rate(rate: f64) -> u32 {
    u32::try_from(whole_tokens(rate)).unwrap_or(u32::MAX)
}
