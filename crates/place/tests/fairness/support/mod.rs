//! A simulated fleet: routers that choose engines by answers of owners, engines that prefill in
//! order of arrival, and workspaces whose callers retry once.

mod conditions;
mod engines;
mod outcome;
mod trouble;

pub use {
    conditions::{Conditions, Crash, Kind, SITE_KINDS, Variant},
    outcome::{Outcome, Second},
};

use {
    baobab_overload::{Arrival, Overload, Shedding},
    baobab_place::{
        AdmissionClass, CallerAttempt, Load, Placement, PlacementRequest, Placer, Prompt,
        RatesByWorkspace, ServerKey, Shares, VersionBound,
    },
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    rand_distr::{Distribution, LogNormal},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        time::Duration,
    },
};

const SLOTS: u32 = 64;
/// Prompt tokens that an engine prefills in a millisecond beside its running requests.
const PREFILL_TOKENS_PER_MS: f64 = 30.0;
/// Time from the end of prefill to the first event.
const FIRST_EVENT_OVERHEAD: Duration = Duration::from_millis(16);
/// Time per generated token.
const TIME_PER_TOKEN: Duration = Duration::from_millis(6);
/// Fraction of a prompt that is not cached.
const UNCACHED_FRACTION: f64 = 0.6;
/// Interval of the routers' shares.
const TICK: Duration = Duration::from_millis(100);
/// Interval of the exchange of rates with owners.
pub const RATES_INTERVAL: Duration = Duration::from_millis(400);
/// Time after which a refused caller retries, as a fraction of its time left.
const RETRY_FRACTION: f64 = 0.25;
const SAMPLES: u32 = 3;
/// Processor time that a router takes for one request.
pub const REQUEST_TIME: Duration = Duration::from_millis(14);
/// Time for which a caller waits for a router to read its request.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a router waits for answers.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Interval at which an overloaded router asks for the loads of a sample, as in the relay.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Backlog of a router from which on it counts as overloaded.
const OVERLOAD_BACKLOG: Duration = Duration::from_millis(60);
/// Time from a refusal by an overloaded router to the return of the caller.
const OTHER_ROUTER_DELAY: Duration = Duration::from_millis(90);
/// Minimum fraction of its timeout that a caller has left at its first attempt, as in the relay.
const FIRST_ATTEMPT_TIMEOUT_FRACTION: f64 = 0.845;
/// Processor time that a router takes to refuse a stream unread.
const REFUSAL_TIME: Duration = Duration::from_millis(1);
/// Wait after which a router turns a connection away, as in the relay.
const MAX_UNREAD_WAIT: Duration = Duration::from_millis(100);
/// Processor time that a router takes to turn a connection away.
const TURN_AWAY_TIME: Duration = Duration::from_micros(250);
/// Time after which a connection is refused.
const CONNECT_TIME: Duration = Duration::from_millis(3);
/// Engines that a request tries without a connection.
const MAX_UNREACHABLE: usize = 3;

/// Demand of one workspace.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Requested tokens a second.
    pub tokens_per_s: f64,
    /// The routers that its callers reach, from the first one on.
    pub routers: (usize, usize),
    /// When its callers begin.
    pub from: Duration,
    /// Whether the rate jumps every two to five seconds, from a tenth to twice its mean.
    pub jumps: bool,
}

/// The played load and fleet.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub routers: usize,
    pub engines: u32,
    /// Declared throughput in tokens a second.
    pub capacity: f64,
    pub demands: Vec<Demand>,
    pub length: Duration,
    pub conditions: Conditions,
}

#[derive(Debug, Clone)]
struct Request {
    workspace: u32,
    kind: Kind,
    prompt: Prompt,
    deadline: Duration,
    is_retry: bool,
    seed: u64,
    router: usize,
    /// Engines where an attempt has failed.
    tried: Vec<ServerKey>,
    charged_as: Option<AdmissionClass>,
    /// Whether an engine may have begun it.
    may_have_run: bool,
    /// Whether an engine has begun it.
    has_begun: bool,
}

impl Request {
    /// Whether its response will be late, since the caller was refused before.
    fn is_late(&self, now: Duration) -> bool {
        let timeout = Duration::from_millis(self.kind.timeout_ms);
        self.deadline.saturating_sub(now) < timeout.mul_f64(FIRST_ATTEMPT_TIMEOUT_FRACTION)
    }
}

/// A request at an engine.
#[derive(Debug)]
struct Sent {
    request: Request,
    load: Load,
    begins_at: Duration,
    has_first_event: bool,
}

#[derive(Debug, Clone)]
enum Event {
    Arrive(u32),
    /// A caller sends a request to a router.
    Submit(Box<Request>),
    /// The router has read it.
    Place(Box<Request>, u32),
    First(u64, ServerKey, Duration, Duration),
    End(u64, ServerKey),
    /// No connection could be opened.
    Unreachable(Box<Request>, ServerKey, Load),
    Tick(usize),
    ExchangeRates(usize),
    Jump(u32),
    Crash,
    Restart,
}

struct Router {
    placer: Placer,
    shares: Shares,
    others: RatesByWorkspace,
    reported: RatesByWorkspace,
    own: BTreeMap<ServerKey, Load>,
    asked_at: Duration,
    busy_until: Duration,
    overload: Overload,
    shedding: Shedding,
}

struct Simulation {
    scenario: Scenario,
    random: ChaCha8Rng,
    routers: Vec<Router>,
    totals: BTreeMap<ServerKey, Load>,
    free_at: BTreeMap<ServerKey, Duration>,
    sent: BTreeMap<ServerKey, BTreeMap<u64, Sent>>,
    next_sent: u64,
    /// The demands' rates, relative to their means.
    levels: BTreeMap<u32, f64>,
    is_crashed: bool,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    now: Duration,
    outcome: Outcome,
}

/// Plays a scenario with a seed.
pub fn play(scenario: &Scenario, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(scenario.clone(), seed);
    simulation.run();
    simulation.outcome
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let routers = (0..scenario.routers)
            .map(|_| Router {
                placer: engines::placer(scenario.engines, SLOTS),
                shares: Shares::new(Duration::ZERO),
                others: RatesByWorkspace::new(),
                reported: RatesByWorkspace::new(),
                own: BTreeMap::new(),
                asked_at: Duration::ZERO,
                busy_until: Duration::ZERO,
                overload: Overload::default(),
                shedding: Shedding::default(),
            })
            .collect();
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            routers,
            totals: BTreeMap::new(),
            free_at: BTreeMap::new(),
            sent: BTreeMap::new(),
            next_sent: 0,
            levels: BTreeMap::new(),
            is_crashed: false,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            now: Duration::ZERO,
            outcome: Outcome::default(),
            scenario,
        };
        for router in 0..simulation.scenario.routers {
            simulation.at(TICK, Event::Tick(router));
            let offset = simulation
                .scenario
                .conditions
                .rates_interval
                .mul_f64(simulation.random.random());
            simulation.at(offset, Event::ExchangeRates(router));
        }
        for (workspace, demand) in (0..).zip(simulation.scenario.demands.clone()) {
            let length = simulation.scenario.length.as_secs();
            let seconds = vec![Second::default(); usize::try_from(length).unwrap()];
            simulation.outcome.seconds.insert(workspace, seconds);
            simulation.outcome.largest.insert(workspace, [0.0; 3]);
            simulation.at(demand.from, Event::Arrive(workspace));
            if demand.jumps {
                simulation.at(demand.from, Event::Jump(workspace));
            }
        }
        if let Some(crash) = simulation.scenario.conditions.crash {
            simulation.at(crash.at, Event::Crash);
            simulation.at(crash.at + crash.outage, Event::Restart);
        }
        simulation
    }

    fn at(&mut self, delay: Duration, event: Event) {
        self.queue
            .push(Reverse((self.now + delay, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn run(&mut self) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at >= self.scenario.length {
                return;
            }
            self.now = at;
            let event = self.events.remove(&number).unwrap();
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(workspace) => self.arrive(workspace),
            Event::Submit(request) => self.submit(*request),
            Event::Place(request, round) => self.place(*request, round),
            Event::First(id, key, predicted, actual) => {
                self.on_first_event(id, key, predicted, actual);
            }
            Event::End(id, key) => {
                if let Some(sent) = self.sent.get_mut(&key).and_then(|sent| sent.remove(&id)) {
                    self.release(key, &sent, None);
                }
            }
            Event::Unreachable(request, key, load) => self.on_unreachable(*request, key, load),
            Event::Jump(workspace) => self.jump(workspace),
            Event::Crash => self.crash(),
            Event::Restart => self.is_crashed = false,
            Event::Tick(index) => {
                let now = self.now;
                let capacity = self.scenario.capacity;
                let conditions = &self.scenario.conditions;
                let size = match conditions.variant {
                    Variant::WholeBuckets => 1,
                    _ => self.scenario.routers,
                };
                let router = &mut self.routers[index];
                router.observe_delay(now);
                let others = router.others.clone();
                router.shares.tick(others, capacity, size, now);
                self.at(TICK, Event::Tick(index));
            }
            Event::ExchangeRates(index) => self.exchange_rates(index),
        }
    }

    /// Reports a router's rates, and learns those of all others.
    fn exchange_rates(&mut self, index: usize) {
        self.routers[index].reported = self.routers[index].shares.rates();
        let mut others = RatesByWorkspace::new();
        for (other, router) in self.routers.iter().enumerate() {
            if other == index {
                continue;
            }
            for (&workspace, &rates) in &router.reported {
                *others.entry(workspace).or_default() += rates;
            }
        }
        self.routers[index].others = others;
        let interval = self.scenario.conditions.rates_interval;
        self.at(interval, Event::ExchangeRates(index));
    }

    fn second(&mut self, workspace: u32) -> &mut Second {
        let second = usize::try_from(self.now.as_secs()).unwrap();
        &mut self.outcome.seconds.get_mut(&workspace).unwrap()[second]
    }

    fn kind(&mut self) -> Kind {
        let mut remaining: f64 = self.random.random();
        let kinds = self.scenario.conditions.kinds;
        for kind in kinds {
            remaining -= kind.weight;
            if remaining < 0.0 {
                return *kind;
            }
        }
        kinds[kinds.len() - 1]
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn request(&mut self, workspace: u32) -> Request {
        let kind = self.kind();
        let location = kind.mean_prompt_tokens.ln() - kind.spread * kind.spread / 2.0;
        let size = LogNormal::new(location, kind.spread).unwrap();
        let tokens = size.sample(&mut self.random).min(kind.max_prompt_tokens) as u64;
        let (first, count) = self.scenario.demands[workspace as usize].routers;
        Request {
            workspace,
            kind,
            prompt: Prompt {
                tokens,
                output_limit: kind.output_tokens,
                ..Prompt::default()
            },
            deadline: self.now + Duration::from_millis(kind.timeout_ms),
            is_retry: false,
            seed: self.random.random(),
            router: first + self.random.random_range(0..count),
            tried: Vec::new(),
            charged_as: None,
            may_have_run: false,
            has_begun: false,
        }
    }

    fn arrive(&mut self, workspace: u32) {
        let request = self.request(workspace);
        let kinds = self.scenario.conditions.kinds;
        let mean_tokens: f64 = kinds.iter().map(Kind::mean_claim).sum();
        let level = self.levels.get(&workspace).copied().unwrap_or(1.0);
        let rate = self.scenario.demands[workspace as usize].tokens_per_s * level / mean_tokens;
        let pause = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.at(Duration::from_secs_f64(pause), Event::Arrive(workspace));
        self.submit(request);
    }

    /// Counts a request as asked for and looks for an engine.
    fn submit(&mut self, request: Request) {
        let tokens = request.prompt.claim_tokens();
        if !request.is_retry {
            self.second(request.workspace).asked += tokens as f64;
        }
        let largest = self.outcome.largest.get_mut(&request.workspace).unwrap();
        if tokens as f64 > largest[2] {
            largest[2] = tokens as f64;
            largest.sort_by(|left, right| right.total_cmp(left));
        }
        let now = self.now;
        let conditions = self.scenario.conditions.clone();
        let random_fraction: f64 = self.random.random();
        let router = &mut self.routers[request.router];
        let wait = router.busy_until.saturating_sub(now);
        let counts_unread = conditions.variant != Variant::UnreadNotCounted && !request.is_retry;
        if conditions.turns_away && wait > MAX_UNREAD_WAIT {
            if counts_unread {
                router.shares.claim(request.workspace, tokens);
            }
            router.overload.on_turned_away(now);
            router.busy_until += TURN_AWAY_TIME;
            return self.refuse_after(request, OTHER_ROUTER_DELAY);
        }
        if wait > UNREAD_TIMEOUT {
            return self.refuse(request);
        }
        let is_late = request.is_late(now);
        let arrival = Arrival {
            workspace: request.workspace,
            is_late,
            is_owed: router.shares.is_owed(request.workspace),
            served_fraction: router.shares.served_fraction(request.workspace),
        };
        let is_refused = router
            .shedding
            .refuses(arrival, &router.overload, true, random_fraction);
        if conditions.refuses_unread && is_refused {
            router.busy_until = router.busy_until.max(now) + REFUSAL_TIME;
            if counts_unread {
                router.shares.claim(request.workspace, tokens);
            }
            return self.refuse_after(request, OTHER_ROUTER_DELAY);
        }
        router.busy_until = router.busy_until.max(now) + conditions.read_time;
        let is_overloaded = if conditions.keeps_overload {
            router.overload.is_overloaded()
        } else {
            wait > OVERLOAD_BACKLOG
        };
        if !is_late || is_overloaded {
            router.shares.claim(request.workspace, tokens);
        }
        self.at(wait, Event::Place(Box::new(request), 0));
    }

    fn place(&mut self, request: Request, round: u32) {
        let conditions = &self.scenario.conditions;
        let router = &self.routers[request.router];
        let backlog = router.busy_until.saturating_sub(self.now);
        let is_overloaded = if conditions.keeps_overload {
            router.overload.is_overloaded()
        } else {
            backlog > OVERLOAD_BACKLOG
        };
        let is_overloaded = is_overloaded && conditions.variant != Variant::OverloadedAsk;
        let admission_class = self.admission_class(&request);
        match self.try_place(&request, admission_class, round, is_overloaded) {
            Some(placement) => self.send(request, &placement, admission_class),
            None if round + 1 < samples(admission_class, is_overloaded) => {
                let again = Event::Place(Box::new(request), round + 1);
                self.at(Duration::from_millis(15), again);
            }
            None => self.refuse(request),
        }
    }

    fn admission_class(&self, request: &Request) -> AdmissionClass {
        let conditions = &self.scenario.conditions;
        let attempt = if request.is_late(self.now) && conditions.variant != Variant::LateAsFirst {
            CallerAttempt::Late
        } else {
            CallerAttempt::First
        };
        let class = self.routers[request.router]
            .shares
            .admission_class(request.workspace, attempt);
        match class {
            AdmissionClass::WithinShare { .. } if conditions.variant == Variant::FullBounds => {
                AdmissionClass::WithinShare { unused: 1.0 }
            }
            class => class,
        }
    }

    fn try_place(
        &mut self,
        request: &Request,
        admission_class: AdmissionClass,
        round: u32,
        is_overloaded: bool,
    ) -> Option<Placement> {
        let now = self.now;
        let router = &mut self.routers[request.router];
        let ask_time = self.scenario.conditions.ask_time;
        let uncached = Prompt {
            tokens: fraction_of(request.prompt.tokens, UNCACHED_FRACTION),
            ..request.prompt.clone()
        };
        let placement_request = PlacementRequest {
            service: engines::SERVICE,
            prompt: Some(&uncached),
            objective: Duration::from_millis(request.kind.objective_ms),
            min_objective: Duration::from_millis(400),
            domain: "north",
            sample: None,
            seed: request.seed,
            tried: &request.tried,
            admission_class,
            allows_limited: true,
            versions: VersionBound::Any,
            can_fetch: false,
            memory_tokens: 0,
            max_connections: 860,
            connected: None,
        };
        let sample = router.placer.sample(&placement_request, round, now).ok()?;
        // An overloaded router asks now and then, and does not wait.
        let asks = !is_overloaded || now >= router.asked_at + SAMPLE_INTERVAL;
        let is_late = router.busy_until.saturating_sub(now) > ANSWER_TIMEOUT;
        let mut answers = Vec::new();
        if asks {
            router.asked_at = now;
            router.busy_until = router.busy_until.max(now) + ask_time;
            answers = sample
                .iter()
                .map(|key| {
                    let mut load = self.totals.get(key).copied().unwrap_or_default();
                    load -= router.own.get(key).copied().unwrap_or_default();
                    (*key, load)
                })
                .collect();
        }
        let mut record = |placer: &mut Placer| {
            for (key, load) in std::mem::take(&mut answers) {
                placer.on_load_answer(key, load, now);
            }
        };
        router.placer.expire(now);
        if !is_late {
            record(&mut router.placer);
        }
        let placer = &router.placer;
        let is_known = sample.iter().any(|key| placer.peers.has_answer(*key));
        let mut servers = sample;
        if is_overloaded || !is_known {
            let known = placer
                .known_servers(&placement_request, &servers, now)
                .ok()?;
            if !known.is_empty() {
                servers = known;
            }
        }
        let placement_request = PlacementRequest {
            sample: Some(&servers),
            ..placement_request
        };
        let placement = router.placer.place(&placement_request, now).ok();
        // Answers that come too late for this request are used for the next ones.
        record(&mut router.placer);
        placement
    }

    fn send(
        &mut self,
        mut request: Request,
        placement: &Placement,
        admission_class: AdmissionClass,
    ) {
        let now = self.now;
        let tokens = request.prompt.claim_tokens();
        let key = placement.server.key;
        let serve_time = self.scenario.conditions.serve_time;
        let router = &mut self.routers[request.router];
        if request.charged_as.is_none() {
            router
                .shares
                .charge(request.workspace, tokens, admission_class);
            request.charged_as = Some(admission_class);
        }
        router.busy_until = router.busy_until.max(now) + serve_time;
        let load = router.placer.on_sent(placement, Some(&request.prompt), now);
        *router.own.entry(key).or_default() += load;
        *self.totals.entry(key).or_default() += load;
        if self.is_down(key) {
            let event = Event::Unreachable(Box::new(request), key, load);
            return self.at(CONNECT_TIME, event);
        }
        let free_at = self.free_at.entry(key).or_default();
        let prefill_ms = placement.prefill_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let begins_at = (*free_at).max(now);
        *free_at = begins_at + Duration::from_secs_f64(prefill_ms / 1000.0);
        let first_after = free_at.saturating_sub(now) + FIRST_EVENT_OVERHEAD;
        let output = u32::try_from(request.prompt.output_limit).unwrap();
        if !request.has_begun {
            self.second(request.workspace).begun += tokens as f64;
        }
        if first_after > Duration::from_millis(request.kind.objective_ms) {
            self.second(request.workspace).refused += 1;
        }
        let id = self.next_sent;
        self.next_sent += 1;
        let predicted = placement.predicted_first_event;
        self.at(first_after, Event::First(id, key, predicted, first_after));
        let end_after = first_after + TIME_PER_TOKEN * output;
        self.at(end_after, Event::End(id, key));
        let sent = Sent {
            request,
            load,
            begins_at,
            has_first_event: false,
        };
        self.sent.entry(key).or_default().insert(id, sent);
    }

    fn refuse(&mut self, request: Request) {
        let time_left = request.deadline.saturating_sub(self.now);
        self.refuse_after(request, time_left.mul_f64(RETRY_FRACTION));
    }

    /// Refuses a request, whose caller returns after `delay`.
    fn refuse_after(&mut self, request: Request, delay: Duration) {
        self.second(request.workspace).refused += 1;
        if request.is_retry {
            return;
        }
        let (first, count) = self.scenario.demands[request.workspace as usize].routers;
        let routers: Vec<usize> = (first..first + count).collect();
        let retry = Request {
            is_retry: true,
            router: *routers.choose(&mut self.random).unwrap(),
            tried: Vec::new(),
            charged_as: None,
            may_have_run: false,
            ..request
        };
        self.at(delay, Event::Submit(Box::new(retry)));
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn fraction_of(tokens: u64, fraction: f64) -> u64 {
    (tokens as f64 * fraction) as u64
}

fn samples(admission_class: AdmissionClass, is_overloaded: bool) -> u32 {
    if is_overloaded || admission_class.is_spare() {
        1
    } else {
        SAMPLES
    }
}
