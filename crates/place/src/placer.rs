//! What a router knows of the backend servers, kept up to date by what it sends and hears.

use {
    crate::{
        CacheView, ConnectionLimits, Health, Load, Part, Peers, Placement, Prompt, Registry,
        Server, ServerKey, ServerOutcome, Tuning, convert::part_of,
    },
    std::{collections::HashMap, time::Duration},
};

/// Weight of the newest first event in an engine's pace.
const PACE_WEIGHT: f64 = 0.1;
/// Bounds of an engine's pace: times slower than foretold.
const PACE_BOUNDS: (f64, f64) = (0.5, 8.0);

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) health: Health,
    pub(crate) load: Load,
    pub(crate) cache: CacheView,
    pub(crate) pace: f64,
    is_changed: bool,
}

impl State {
    fn new() -> Self {
        Self {
            health: Health::default(),
            load: Load::default(),
            cache: CacheView::new(u64::MAX),
            pace: 1.0,
            is_changed: false,
        }
    }
}

/// All that a router knows of the backend servers.
#[derive(Debug)]
pub struct Placer {
    /// The announced servers.
    pub registry: Registry,
    /// What the other routers have told.
    pub peers: Peers,
    pub(crate) tuning: Tuning,
    pub(crate) states: HashMap<ServerKey, State>,
    new_parts: Vec<(ServerKey, Part)>,
}

impl Placer {
    /// Starts without servers.
    #[must_use]
    pub fn new(registry: Registry, peers: Peers, tuning: Tuning) -> Self {
        Self {
            registry,
            peers,
            tuning,
            states: HashMap::new(),
            new_parts: Vec::new(),
        }
    }

    /// Notes that a request was sent to a server. Returns the load to give back when it ends.
    pub fn on_sent(
        &mut self,
        placement: &Placement,
        prompt: Option<&Prompt>,
        now: Duration,
    ) -> Load {
        let load = Load {
            pending_prefill_tokens: placement.uncached_tokens,
            running: 1,
            memory_tokens: prompt.map_or(0, Prompt::memory_tokens),
        };
        let key = placement.server.key;
        let state = self.states.entry(key).or_insert_with(State::new);
        state.load += load;
        state.is_changed = true;
        let Some(prompt) = prompt else {
            return load;
        };
        let shared = prompt.shared().len();
        for (index, part) in prompt.parts.iter().enumerate() {
            if state.cache.touch(*part, now) && index < shared {
                self.new_parts.push((key, *part));
            }
        }
        load
    }

    /// Notes that a request's first event has come `after` it was sent, where
    /// `predicted_first_event` was expected.
    pub fn on_first_event(
        &mut self,
        key: ServerKey,
        load: &mut Load,
        predicted_first_event: Duration,
        after: Duration,
    ) {
        self.release(
            key,
            Load {
                pending_prefill_tokens: load.pending_prefill_tokens,
                ..Load::default()
            },
        );
        load.pending_prefill_tokens = 0;
        let Some(state) = self.states.get_mut(&key) else {
            return;
        };
        let ratio = after.as_secs_f64() / predicted_first_event.as_secs_f64().max(0.001);
        let sample = (state.pace * ratio).clamp(PACE_BOUNDS.0, PACE_BOUNDS.1);
        state.pace += PACE_WEIGHT * (sample - state.pace);
    }

    /// Gives a request's load back and takes its end in. Returns whether the server is set aside
    /// because of it.
    pub fn on_finished(
        &mut self,
        key: ServerKey,
        load: Load,
        outcome: Option<ServerOutcome>,
        now: Duration,
    ) -> bool {
        self.release(key, load);
        match (self.states.get_mut(&key), outcome) {
            (Some(state), Some(outcome)) => state.health.on_outcome(outcome, now),
            _ => false,
        }
    }

    /// Notes that another router has sent a prompt part to an engine.
    pub fn on_peer_part(&mut self, key: ServerKey, part: Part, now: Duration) {
        let state = self.states.entry(key).or_insert_with(State::new);
        state.cache.touch(part, now);
    }

    /// Notes that an engine holds nothing any more.
    pub fn on_server_restarted(&mut self, key: ServerKey) {
        if let Some(state) = self.states.get_mut(&key) {
            state.cache.clear();
            state.health = Health::default();
            state.pace = 1.0;
        }
    }

    /// Returns parts that engines have used and that the other routers do not know of yet, `most`
    /// of them at a time.
    pub fn take_new_parts(&mut self, most: usize) -> Vec<(ServerKey, Part)> {
        let taken = self.new_parts.len().min(most);
        self.new_parts.drain(..taken).collect()
    }

    /// Returns this router's load by server: all of it, or what has changed since the last call.
    pub fn take_loads(&mut self, all: bool) -> Vec<(ServerKey, Load)> {
        let mut loads = Vec::new();
        for (&key, state) in &mut self.states {
            let is_told = if all {
                state.load != Load::default()
            } else {
                state.is_changed
            };
            state.is_changed = false;
            if is_told {
                loads.push((key, state.load));
            }
        }
        loads
    }

    /// Drops what is known of servers that are gone, and peers that are silent.
    pub fn expire(&mut self, now: Duration) {
        self.registry.expire(now);
        self.peers.expire(now);
        let registry = &self.registry;
        self.states
            .retain(|key, state| registry.get(*key).is_some() || state.load != Load::default());
    }

    /// Sets how much of each engine's memory is counted on for cached parts.
    pub fn set_memory(&mut self, service: &str, memory_tokens: u64) {
        let cache_tokens = part_of(memory_tokens, self.tuning.cache_share);
        for server in self.registry.usable(service) {
            let state = self.states.entry(server.key).or_insert_with(State::new);
            state.cache.set_capacity(cache_tokens);
        }
    }

    /// Returns the whole known load of a server.
    #[must_use]
    pub fn total_load(&self, key: ServerKey) -> Load {
        let mut load = self.peers.load(key);
        if let Some(state) = self.states.get(&key) {
            load += state.load;
        }
        load
    }

    /// Returns how many connections to a server this router may have.
    #[must_use]
    pub fn connection_limits(&self, server: &Server, max_connections: u32) -> ConnectionLimits {
        ConnectionLimits::new(server, max_connections, self.peers.len() + 1)
    }

    fn release(&mut self, key: ServerKey, load: Load) {
        if let Some(state) = self.states.get_mut(&key) {
            state.load -= load;
            state.is_changed = true;
        }
    }
}
