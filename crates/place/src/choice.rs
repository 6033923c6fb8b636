//! Server selection for a request.

use {
    crate::{
        Congestion, Placement, PlacementError, PlacementRequest, Placer, Prompt, Server, ServerKey,
        candidate::{Candidate, Rejection, cheapest},
        convert::millis,
        score::rendezvous_score,
    },
    baobab_limit::Priority,
    std::{collections::BinaryHeap, time::Duration},
};

/// Cost of fetching a token from another engine, relative to its prefill.
const FETCH_COST: f64 = 1.0;
/// Cost of each rank in the rendezvous order of the last shared part, relative to the prefill of
/// the shared parts.
const RANK_PENALTY: f64 = 0.5;
/// Cost of a plain server whose slots are all taken, in milliseconds: about one request's work.
const FULL_SERVER_COST_MS: f64 = 20.0;
/// Engines of the rendezvous order that are ranked; all others share the next rank.
const RANKED_ENGINES: usize = 3;
/// Engines that are compared as a source of cached parts, of those with equally many.
const MAX_SOURCES: usize = 8;

impl Placer {
    /// Chooses the cheapest server that can take the request.
    ///
    /// # Errors
    ///
    /// Returns [`PlacementError::NoServer`] if no server is usable, [`PlacementError::Evacuated`] if
    /// the only ones are in evacuated failure domains, [`PlacementError::BackingOff`]
    /// or [`PlacementError::Limited`] if all of them have asked for no requests or have named limits
    /// that are used up, [`PlacementError::Unverified`] if they may be another version, and [`PlacementError::Busy`] if none has capacity within the bounds of the
    /// request's admission class.
    pub fn place(
        &self,
        request: &PlacementRequest,
        now: Duration,
    ) -> Result<Placement, PlacementError> {
        let servers = match request.sample {
            Some(sample) => self.sampled_servers(request, sample, now),
            None => self.eligible_servers(request, now)?,
        };
        let ranked = request
            .prompt
            .map_or_else(Vec::new, |prompt| self.ranked_engines(request, prompt, now));
        let source = request
            .prompt
            .and_then(|prompt| self.fetch_source(request, prompt, now));
        let candidates = match request.prompt {
            Some(prompt) => {
                let max_cached_tokens = source.map_or(0, |(_, cached_tokens)| cached_tokens);
                self.engine_candidates(request, prompt, &servers, &ranked, max_cached_tokens)
            }
            None => self.plain_candidates(request, &servers),
        };
        let Some(best) = cheapest(&candidates) else {
            return Err(PlacementError::Busy(self.congestion(request, &candidates)));
        };
        let max_cached_tokens = source.map_or(0, |(_, cached_tokens)| cached_tokens);
        let fetch_from = source
            .filter(|_| request.can_fetch && max_cached_tokens > best.cached_tokens)
            .map(|(server, _)| server.address);
        Ok(Placement {
            server: best.server.clone(),
            predicted_first_event: Duration::from_secs_f64(best.predicted_ms / 1000.0),
            prefill_tokens: best.prefill_tokens,
            cached_tokens: best.cached_tokens,
            max_cached_tokens,
            fetch_from,
            permit_asked_at: None,
        })
    }

    /// Returns the precedence of a request at servers that have named a limit.
    #[must_use]
    pub fn permit_priority(&self, request: &PlacementRequest) -> Priority {
        let is_small = request
            .prompt
            .is_some_and(|prompt| (prompt.tokens as f64) < self.mean_prompt_tokens);
        if request.admission_class.is_spare() {
            Priority::Spare
        } else if is_small {
            Priority::Small
        } else {
            Priority::Large
        }
    }

    fn plain_candidates<'a>(
        &self,
        request: &PlacementRequest,
        servers: &[&'a Server],
    ) -> Vec<Candidate<'a>> {
        servers
            .iter()
            .map(|server| {
                let running = self.total_load(server.key).running;
                let rejection = (!self.has_connection(request, server)).then_some(Rejection::Slots);
                let slot_usage = running as f64 / f64::from(server.slots.max(1));
                let cost_ms = slot_usage * FULL_SERVER_COST_MS
                    + self.domain_and_health_cost_ms(request, server);
                Candidate {
                    server,
                    cost_ms,
                    predicted_ms: 0.0,
                    prefill_tokens: 0,
                    cached_tokens: 0,
                    queue_ms: 0.0,
                    rejection,
                }
            })
            .collect()
    }

    fn engine_candidates<'a>(
        &self,
        request: &PlacementRequest,
        prompt: &Prompt,
        servers: &[&'a Server],
        ranked: &[ServerKey],
        max_cached_tokens: u64,
    ) -> Vec<Candidate<'a>> {
        let shared_tokens: u64 = prompt.shared().iter().map(|part| part.tokens).sum();
        let shared_prefill_ms = shared_tokens as f64 / self.tuning.prefill_tokens_per_ms;
        servers
            .iter()
            .map(|server| {
                let mut candidate =
                    self.engine_candidate(request, prompt, server, max_cached_tokens);
                let rank = ranked
                    .iter()
                    .position(|key| *key == server.key)
                    .unwrap_or(RANKED_ENGINES);
                candidate.cost_ms += RANK_PENALTY * rank as f64 * shared_prefill_ms;
                candidate
            })
            .collect()
    }

    fn engine_candidate<'a>(
        &self,
        request: &PlacementRequest,
        prompt: &Prompt,
        server: &'a Server,
        max_cached_tokens: u64,
    ) -> Candidate<'a> {
        let cached_tokens = self.cached_tokens(server.key, prompt);
        let load = self.total_load(server.key);
        let uncached_tokens = prompt.tokens.saturating_sub(cached_tokens);
        let fetched_tokens = if request.can_fetch {
            max_cached_tokens.saturating_sub(cached_tokens)
        } else {
            0
        };
        let prefill_tokens = uncached_tokens - fetched_tokens.min(uncached_tokens);
        let slowdown = self
            .states
            .get(&server.key)
            .map_or(1.0, |state| state.slowdown);
        let prefill_ms_per_token = slowdown / self.tuning.prefill_tokens_per_ms;
        let queue_ms = load.pending_prefill_tokens as f64 * prefill_ms_per_token;
        let predicted_ms = queue_ms
            + prefill_tokens as f64 * prefill_ms_per_token
            + millis(self.tuning.first_event_overhead);
        let cost_ms = predicted_ms
            + FETCH_COST * fetched_tokens as f64 * prefill_ms_per_token
            + load.running as f64 * millis(self.tuning.running_cost)
            + self.domain_and_health_cost_ms(request, server);
        Candidate {
            server,
            cost_ms,
            predicted_ms,
            prefill_tokens,
            cached_tokens,
            queue_ms,
            rejection: self.rejection(request, prompt, server, load, queue_ms, predicted_ms),
        }
    }

    /// Returns the cost of a server in another failure domain, of one to which a connection has to be
    /// opened, and of one that is degraded or warming up.
    fn domain_and_health_cost_ms(&self, request: &PlacementRequest, server: &Server) -> f64 {
        let mut cost_ms = 0.0;
        if server.domain != request.domain {
            cost_ms += millis(self.tuning.domain_cost);
        }
        let is_connected = |connected: &[ServerKey]| connected.binary_search(&server.key).is_ok();
        // Without a random sample, a new server would get none of the requests of a router with few.
        if request.sample.is_some() && !request.connected.is_none_or(is_connected) {
            cost_ms += millis(self.tuning.connection_cost);
        }
        let is_degraded = self
            .states
            .get(&server.key)
            .is_some_and(|state| state.health.is_degraded());
        if is_degraded || self.is_warming_up(server) {
            cost_ms += millis(self.tuning.degraded_cost);
        }
        cost_ms
    }

    /// Returns the engine with most of a prompt cached, and how many tokens. Of those with equally
    /// many, the one that used the parts last is the least likely to have evicted them.
    fn fetch_source(
        &self,
        request: &PlacementRequest,
        prompt: &Prompt,
        now: Duration,
    ) -> Option<(&Server, u64)> {
        let mut cached_tokens: u64 = prompt.parts.iter().map(|part| part.tokens).sum();
        for part in prompt.parts.iter().rev() {
            let source = self
                .holders
                .of(part.id)
                .filter(|key| self.cached_tokens(*key, prompt) >= cached_tokens)
                .filter(|key| self.is_healthy(request, *key, now))
                .take(MAX_SOURCES)
                .max_by_key(|key| self.used_at(*key, prompt));
            if let Some(server) = source.and_then(|key| self.registry.get(key)) {
                return Some((server, cached_tokens));
            }
            cached_tokens -= part.tokens;
        }
        None
    }

    /// Returns the healthy engines that are preferred for the last shared part of a prompt, the most preferred
    /// first.
    pub(crate) fn ranked_engines(
        &self,
        request: &PlacementRequest,
        prompt: &Prompt,
        now: Duration,
    ) -> Vec<ServerKey> {
        let Some(part) = prompt.last_shared() else {
            return Vec::new();
        };
        let keys = self.registry.usable_keys(request.service).iter();
        let mut scored: BinaryHeap<(u64, ServerKey)> = keys
            .map(|key| (rendezvous_score(part.id, *key), *key))
            .collect();
        std::iter::from_fn(|| scored.pop())
            .map(|(_, key)| key)
            .filter(|key| self.is_healthy(request, *key, now))
            .take(RANKED_ENGINES)
            .collect()
    }

    fn cached_tokens(&self, key: ServerKey, prompt: &Prompt) -> u64 {
        self.states
            .get(&key)
            .map_or(0, |state| state.cache.cached_prefix_tokens(prompt))
    }

    fn used_at(&self, key: ServerKey, prompt: &Prompt) -> Option<Duration> {
        let state = self.states.get(&key)?;
        state.cache.used_at(prompt.last_shared()?.id)
    }

    fn congestion(&self, request: &PlacementRequest, candidates: &[Candidate]) -> Congestion {
        let min_of = |value: fn(&Candidate) -> f64| {
            candidates.iter().map(value).fold(f64::INFINITY, f64::min)
        };
        let count = |rejection: Rejection| {
            candidates
                .iter()
                .filter(|candidate| candidate.rejection == Some(rejection))
                .count()
        };
        if candidates.is_empty() {
            return Congestion::default();
        }
        let predicted_ms = min_of(|candidate| candidate.predicted_ms);
        let over_ms =
            (predicted_ms - millis(request.objective) * self.tuning.objective_fraction).max(0.0);
        Congestion {
            available_in: Duration::from_secs_f64(over_ms / 1000.0),
            min_queue: Duration::from_secs_f64(min_of(|candidate| candidate.queue_ms) / 1000.0),
            late: count(Rejection::Late),
            full: count(Rejection::Slots),
            out_of_memory: count(Rejection::Memory),
        }
    }
}
