//! This router's view of the backend servers, from its own requests and the peers' reports.

use {
    crate::typical_load::TypicalLoad,
    crate::{
        CacheView, ConnectionLimits, Health, Load, Part, Peers, Placement, Prompt, Registry,
        Server, ServerKey, ServerOutcome, Tuning, convert::fraction_of, doubt::Doubt,
        holders::Holders,
    },
    baobab_availability::Availability,
    baobab_limit::Limits,
    baobab_unit::HostId,
    foldhash::HashMap,
    std::{cell::Cell, collections::BTreeSet, time::Duration},
};

/// Weight of the newest first event in an engine's exponentially weighted slowdown.
const SLOWDOWN_EWMA_WEIGHT: f64 = 0.1;
/// Weight of the newest prompt in the exponentially weighted mean length of prompts.
const PROMPT_EWMA_WEIGHT: f64 = 0.01;
/// Maximum number of used parts that wait to be reported; further ones are not reported.
const MAX_UNREPORTED_PARTS: usize = 2048;
/// Maximum time for which a server can ask for no requests.
const MAX_BACKOFF: Duration = Duration::from_mins(5);
/// Bounds of an engine's slowdown: actual over predicted time to first event.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 8.0);

#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) health: Health,
    pub(crate) load: Load,
    pub(crate) cache: CacheView,
    pub(crate) slowdown: f64,
    /// Until when the server wants no requests from this router.
    pub(crate) backoff_until: Option<Duration>,
    /// Whether the server may have started again.
    pub(crate) doubt: Doubt,
    is_changed: bool,
}

impl ServerState {
    pub(crate) fn new() -> Self {
        Self {
            health: Health::default(),
            load: Load::default(),
            cache: CacheView::new(u64::MAX),
            slowdown: 1.0,
            backoff_until: None,
            doubt: Doubt::default(),
            is_changed: false,
        }
    }
}

/// Places requests by this router's view of the backend servers.
#[derive(Debug)]
pub struct Placer {
    /// The announced servers.
    pub registry: Registry,
    /// Loads and workspace rates reported by the other routers.
    pub peers: Peers,
    /// Limits that servers have named, and those of cold ones.
    pub limits: Limits,
    /// Cold servers and evacuated failure domains.
    pub availability: Availability,
    pub(crate) tuning: Tuning,
    pub(crate) states: HashMap<ServerKey, ServerState>,
    pub(crate) holders: Holders,
    unreported_parts: Vec<(ServerKey, Part)>,
    pub(crate) unreported_losses: BTreeSet<ServerKey>,
    reported_parts: ReportedParts,
    /// Exponentially weighted mean length of the prompts sent.
    pub(crate) mean_prompt_tokens: f64,
    /// When this router was out of step with the fleet last, so that any server may have started again.
    pub(crate) out_of_step_at: Option<Duration>,
    /// Routers of the fleet, if known otherwise than by their reports.
    fleet_size: usize,
    /// Mean load of each service's servers by the answers of their owners; empty in a fleet whose
    /// routers all report to this one.
    pub(crate) typical_loads: HashMap<String, TypicalLoad>,
    /// Servers whose state was looked at for a choice.
    pub(crate) examined: Cell<u64>,
}

/// Which used parts of a prompt are reported to other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedParts {
    /// All shared parts.
    Shared,
    /// The last shared part; an engine that has it cached has those before it.
    LastShared,
}

impl Placer {
    /// Creates a placer without load or cache state.
    #[must_use]
    pub fn new(registry: Registry, peers: Peers, tuning: Tuning) -> Self {
        Self {
            registry,
            peers,
            limits: Limits::default(),
            availability: Availability::default(),
            tuning,
            states: HashMap::default(),
            holders: Holders::default(),
            unreported_parts: Vec::new(),
            unreported_losses: BTreeSet::new(),
            reported_parts: ReportedParts::Shared,
            mean_prompt_tokens: 0.0,
            out_of_step_at: None,
            fleet_size: 1,
            typical_loads: HashMap::default(),
            examined: Cell::new(0),
        }
    }

    /// Returns how many servers were examined for all choices so far, each as often as it was.
    #[must_use]
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    pub(crate) fn count_examined(&self, servers: usize) {
        self.examined.set(self.examined.get() + servers as u64);
    }

    /// Sets the number of routers in a fleet in which not all of them report to this one.
    pub fn set_fleet_size(&mut self, fleet_size: usize) {
        self.fleet_size = fleet_size;
    }

    /// Sets which used parts of a prompt are reported to other routers.
    pub fn set_reported_parts(&mut self, reported_parts: ReportedParts) {
        self.reported_parts = reported_parts;
    }

    /// Records that a request was sent to a server. Returns the load to release when it ends.
    pub fn on_sent(
        &mut self,
        placement: &Placement,
        prompt: Option<&Prompt>,
        now: Duration,
    ) -> Load {
        let load = Load {
            pending_prefill_tokens: placement.prefill_tokens,
            running: 1,
            memory_tokens: prompt.map_or(0, Prompt::memory_tokens),
        };
        let key = placement.server.key;
        let state = self.states.entry(key).or_insert_with(ServerState::new);
        state.load += load;
        state.is_changed = true;
        let Some(prompt) = prompt else {
            return load;
        };
        self.mean_prompt_tokens +=
            PROMPT_EWMA_WEIGHT * (prompt.tokens as f64 - self.mean_prompt_tokens);
        let shared_count = prompt.shared().len();
        for (index, part) in prompt.parts.iter().enumerate() {
            let is_reported = match self.reported_parts {
                ReportedParts::Shared => index < shared_count,
                ReportedParts::LastShared => index + 1 == shared_count,
            };
            let is_used = state.cache.touch(*part, now);
            if is_used {
                self.holders.on_use(part.id, key);
            }
            if is_used && is_reported && self.unreported_parts.len() < MAX_UNREPORTED_PARTS {
                self.unreported_parts.push((key, *part));
            }
        }
        load
    }

    /// Records a request's first event and releases its pending prefill from `load`. The engine's
    /// slowdown follows the actual `time_to_first_event`, if it was measured, against
    /// `predicted_first_event`.
    pub fn on_first_event(
        &mut self,
        key: ServerKey,
        load: &mut Load,
        predicted_first_event: Duration,
        time_to_first_event: Option<Duration>,
    ) {
        self.release(
            key,
            Load {
                pending_prefill_tokens: load.pending_prefill_tokens,
                ..Load::default()
            },
        );
        load.pending_prefill_tokens = 0;
        let state = self.states.get_mut(&key);
        let (Some(state), Some(time_to_first_event)) = (state, time_to_first_event) else {
            return;
        };
        let ratio =
            time_to_first_event.as_secs_f64() / predicted_first_event.as_secs_f64().max(0.001);
        let sample = (state.slowdown * ratio).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        state.slowdown += SLOWDOWN_EWMA_WEIGHT * (sample - state.slowdown);
    }

    /// Releases a request's load and records its outcome, if any. Returns whether the outcome
    /// ejects the server.
    pub fn on_finished(
        &mut self,
        key: ServerKey,
        load: Load,
        outcome: Option<ServerOutcome>,
        now: Duration,
    ) -> bool {
        self.release(key, load);
        let (Some(state), Some(outcome)) = (self.states.get_mut(&key), outcome) else {
            return false;
        };
        if outcome == ServerOutcome::Unreachable {
            state.doubt.on_lost(now);
            self.unreported_losses.insert(key);
        }
        let is_ejected = state.health.on_outcome(outcome, now);
        if outcome == ServerOutcome::Unreachable {
            self.on_crash(key, now);
        }
        is_ejected
    }

    /// Records that a server has not answered a request for so long that it counts as a failure,
    /// while the request goes on. Returns whether that ejects the server.
    pub fn on_silence(&mut self, key: ServerKey, now: Duration) -> bool {
        self.states
            .get_mut(&key)
            .is_some_and(|state| state.health.on_outcome(ServerOutcome::Failure, now))
    }

    /// Records that another router has sent a prompt part to an engine.
    pub fn on_peer_part(&mut self, key: ServerKey, part: Part, now: Duration) {
        let state = self.states.entry(key).or_insert_with(ServerState::new);
        if state.cache.touch(part, now) {
            self.holders.on_use(part.id, key);
        }
    }

    /// Resets the cache, health and slowdown of a restarted server; its load stays.
    pub fn on_server_restarted(&mut self, key: ServerKey) {
        self.on_other_run_announced(key);
        if let Some(state) = self.states.get_mut(&key) {
            state.cache.clear();
            state.health = Health::default();
            state.slowdown = 1.0;
            state.backoff_until = None;
        }
    }

    /// Records that a server wants no requests from this router for some time. This is no failure
    /// of the server.
    pub fn on_backoff(&mut self, key: ServerKey, backoff: Duration, now: Duration) {
        let state = self.states.entry(key).or_insert_with(ServerState::new);
        let until = now + backoff.min(MAX_BACKOFF);
        state.backoff_until = state.backoff_until.max(Some(until));
    }

    /// Returns whether a server that was chosen earlier may still be sent a request.
    #[must_use]
    pub fn accepts(&self, key: ServerKey, now: Duration) -> bool {
        let is_usable = self.registry.get(key).is_some_and(|server| {
            !server.is_leaving && !self.availability.is_evacuated(&server.domain)
        });
        is_usable && self.backoff(key, now).is_none()
    }

    /// Returns how long a server still wants no requests from this router, if it does.
    #[must_use]
    pub fn backoff(&self, key: ServerKey, now: Duration) -> Option<Duration> {
        let until = self.states.get(&key)?.backoff_until?;
        until
            .checked_sub(now)
            .filter(|remaining| !remaining.is_zero())
    }

    /// Returns the load that all routers but one have on a server, as far as it was reported here.
    #[must_use]
    pub fn load_without(&self, host: HostId, key: ServerKey) -> Load {
        let mut load = self.peers.load(key);
        if let Some(state) = self.states.get(&key) {
            load += state.load;
        }
        load -= self.peers.reported_load(host, key);
        load
    }

    /// Forgets the prompt parts that engines have not used for longer than `lifetime`. For routers
    /// that learn only of some uses, so that the parts' eviction does not follow from the others.
    pub fn expire_parts(&mut self, lifetime: Duration, now: Duration) {
        for state in self.states.values_mut() {
            state.cache.expire(lifetime, now);
        }
    }

    /// Removes and returns up to `max` shared parts that engines have used and that are not yet
    /// reported to the other routers.
    pub fn take_unreported_parts(&mut self, max: usize) -> Vec<(ServerKey, Part)> {
        let count = self.unreported_parts.len().min(max);
        self.unreported_parts.drain(..count).collect()
    }

    /// Returns this router's load by server: all non-zero loads, or those changed since the last
    /// call.
    pub fn take_loads(&mut self, all: bool) -> Vec<(ServerKey, Load)> {
        let mut loads = Vec::new();
        for (&key, state) in &mut self.states {
            let is_included = if all {
                state.load != Load::default()
            } else {
                state.is_changed
            };
            state.is_changed = false;
            if is_included {
                loads.push((key, state.load));
            }
        }
        loads
    }

    /// Removes servers with an expired announcement, silent peers, and the state of removed servers
    /// without load.
    pub fn expire(&mut self, now: Duration) {
        self.registry.expire(now);
        self.peers.expire(now);
        let registry = &self.registry;
        self.states.retain(|key, state| {
            registry.get(*key).is_some()
                || state.load != Load::default()
                || state.backoff_until.is_some_and(|until| until > now)
        });
        let states = &self.states;
        self.holders.prune(now, |part, server| {
            states
                .get(&server)
                .is_some_and(|state| state.cache.contains(part))
        });
        self.limits.retain(|key| registry.get(key).is_some());
        self.availability.retain(|key| registry.get(key).is_some());
        self.update_cold_limits(now);
    }

    /// Sets the cache capacity of a service's engines from the memory of each, in tokens.
    pub fn set_memory(&mut self, service: &str, memory_tokens: u64) {
        let cache_tokens = fraction_of(memory_tokens, self.tuning.cache_fraction);
        for server in self.registry.usable(service) {
            let state = self
                .states
                .entry(server.key)
                .or_insert_with(ServerState::new);
            state.cache.set_capacity(cache_tokens);
        }
    }

    /// Returns the load on a server from all live routers.
    #[must_use]
    pub fn total_load(&self, key: ServerKey) -> Load {
        let mut load = self.load_of_others(key);
        if let Some(state) = self.states.get(&key) {
            load += state.load;
        }
        load
    }

    /// Returns the limits on this router's connections to a server. `max_connections` is what the
    /// server accepts from all routers together.
    #[must_use]
    pub fn connection_limits(&self, server: &Server, max_connections: u32) -> ConnectionLimits {
        let fleet_size = self.fleet_size.max(self.peers.len() + 1);
        ConnectionLimits::new(server, max_connections, fleet_size)
    }

    fn release(&mut self, key: ServerKey, load: Load) {
        if let Some(state) = self.states.get_mut(&key) {
            state.load -= load;
            state.is_changed = true;
        }
    }
}
