//! Crashes of engines, jumps of demands and overloads of routers.

use {
    super::{
        CONNECT_TIME, Event, MAX_UNREACHABLE, OVERLOAD_BACKLOG, Request, Router, Sent, Simulation,
        Variant,
    },
    baobab_place::{Load, ServerKey, ServerOutcome},
    rand::{Rng, seq::IndexedRandom},
    std::time::Duration,
};

/// Rates of a demand that jumps, relative to its mean.
const LEVELS: [f64; 4] = [0.1, 0.6, 1.3, 2.0];

impl Router {
    /// Records how late the router's timer fires, as the relay does.
    pub(super) fn observe_delay(&mut self, now: Duration) {
        let delay = self.busy_until.saturating_sub(now);
        self.overload.on_delay(delay, now);
        self.shedding.update(self.overload.shed_fraction());
    }
}

impl Simulation {
    pub(super) fn jump(&mut self, workspace: u32) {
        let level = *LEVELS.choose(&mut self.random).unwrap();
        self.levels.insert(workspace, level);
        let pause = self.random.random_range(2.0..5.0);
        self.at(Duration::from_secs_f64(pause), Event::Jump(workspace));
    }

    pub(super) fn is_down(&self, key: ServerKey) -> bool {
        let Some(crash) = self.scenario.conditions.crash else {
            return false;
        };
        self.is_crashed && f64::from(key) <= crash.fraction * f64::from(self.scenario.engines)
    }

    /// Ends all requests at the engines that crash; those without an event are tried elsewhere.
    pub(super) fn crash(&mut self) {
        self.is_crashed = true;
        for key in 1..=self.scenario.engines {
            if !self.is_down(key) {
                continue;
            }
            self.free_at.remove(&key);
            for sent in self.sent.remove(&key).unwrap_or_default().into_values() {
                self.break_off(key, sent);
            }
        }
    }

    fn break_off(&mut self, key: ServerKey, sent: Sent) {
        let now = self.now;
        self.release(key, &sent, Some(ServerOutcome::Failure));
        self.routers[sent.request.router]
            .placer
            .on_request_lost(key, now);
        if sent.has_first_event {
            return;
        }
        let mut request = sent.request;
        if sent.begins_at > now {
            let tokens = request.prompt.claim_tokens();
            if !request.has_begun {
                self.second(request.workspace).begun -= tokens as f64;
            }
        } else {
            request.has_begun = true;
        }
        if self.scenario.conditions.variant == Variant::BrokenNotCharged {
            self.refund(&mut request);
        }
        request.may_have_run = true;
        request.tried.push(key);
        self.at(CONNECT_TIME, Event::Place(Box::new(request), 0));
    }

    pub(super) fn on_unreachable(&mut self, mut request: Request, key: ServerKey, load: Load) {
        let now = self.now;
        let router = &mut self.routers[request.router];
        let outcome = Some(ServerOutcome::Unreachable);
        router.placer.on_finished(key, load, outcome, now);
        *router.own.entry(key).or_default() -= load;
        *self.totals.entry(key).or_default() -= load;
        if !request.may_have_run || self.scenario.conditions.variant == Variant::BrokenNotCharged {
            self.refund(&mut request);
        }
        request.tried.push(key);
        if request.tried.len() > MAX_UNREACHABLE {
            return self.refuse(request);
        }
        self.place(request, 0);
    }

    fn refund(&mut self, request: &mut Request) {
        if let Some(admission_class) = request.charged_as.take() {
            let tokens = request.prompt.claim_tokens();
            let shares = &mut self.routers[request.router].shares;
            shares.refund(request.workspace, tokens, admission_class);
        }
    }

    /// Releases the load of a request that has ended.
    pub(super) fn release(&mut self, key: ServerKey, sent: &Sent, outcome: Option<ServerOutcome>) {
        let mut load = sent.load;
        if sent.has_first_event {
            load.pending_prefill_tokens = 0;
        }
        let router = &mut self.routers[sent.request.router];
        router.placer.on_finished(key, load, outcome, self.now);
        *router.own.entry(key).or_default() -= load;
        *self.totals.entry(key).or_default() -= load;
    }

    pub(super) fn on_first_event(
        &mut self,
        id: u64,
        key: ServerKey,
        predicted: Duration,
        actual: Duration,
    ) {
        let now = self.now;
        let Some(sent) = self.sent.get_mut(&key).and_then(|sent| sent.get_mut(&id)) else {
            return;
        };
        sent.has_first_event = true;
        let mut remaining = sent.load;
        let router = &mut self.routers[sent.request.router];
        // An overloaded router cannot tell its own delay from the engine's time.
        let delay = router.busy_until.saturating_sub(now);
        let measured = (delay <= OVERLOAD_BACKLOG).then_some(actual);
        router
            .placer
            .on_first_event(key, &mut remaining, predicted, measured);
        let freed = Load {
            pending_prefill_tokens: sent.load.pending_prefill_tokens,
            ..Load::default()
        };
        *router.own.entry(key).or_default() -= freed;
        *self.totals.entry(key).or_default() -= freed;
    }
}
