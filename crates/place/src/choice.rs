//! Chooses the backend server for a request, or declines it.

use {
    crate::{
        Congestion, Placement, PlacementError, PlacementRequest, Placer, Prompt, Server, ServerKey,
        candidate::{Candidate, Obstacle, cheapest, homes},
        convert::millis,
    },
    std::time::Duration,
};

/// Cost of fetching a token from another engine, relative to reading it.
const FETCH_COST: f64 = 1.0;
/// Cost of each rank behind the first home of the shared parts, relative to reading them.
const RANK_COST: f64 = 0.5;
/// Cost of a plain server whose slots are all taken, in milliseconds: about the work of a request.
const FILLED_COST_MS: f64 = 20.0;
/// Ranks that are told apart.
const RANKS: usize = 3;
/// Other routers from which on each looks at a few engines first: with fewer, news of load comes
/// within the time of one prompt.
const MANY_PEERS: usize = 20;
/// Engines that are looked at besides the homes of shared parts.
const CHOICES: usize = 3;
/// Shared prompt tokens from which on their homes are looked at.
const SHARED_TOKENS: u64 = 1000;

impl Placer {
    /// Chooses a server.
    ///
    /// # Errors
    ///
    /// Declines where no server may be used, or none would answer on time.
    pub fn place(
        &self,
        request: &PlacementRequest,
        now: Duration,
    ) -> Result<Placement, PlacementError> {
        let servers = self.servers(request, now);
        if servers.is_empty() {
            return Err(PlacementError::NoServer);
        }
        let candidates = match request.prompt {
            Some(prompt) => self.engines(request, prompt, &servers),
            None => self.plain(request, &servers),
        };
        let preferred = self.preferred(request, &candidates);
        // Of several holders, the one that used the parts last has hardly evicted them.
        let most_held = candidates
            .iter()
            .max_by_key(|candidate| (candidate.cached_tokens, candidate.used_at));
        let best = cheapest(&candidates, |key| preferred.contains(&key))
            .or_else(|| cheapest(&candidates, |_| true));
        let Some(best) = best else {
            return Err(PlacementError::Busy(self.congestion(request, &candidates)));
        };
        let fetch_from = most_held
            .filter(|holder| request.can_fetch && holder.cached_tokens > best.cached_tokens)
            .map(|holder| holder.server.address);
        Ok(Placement {
            server: best.server.clone(),
            predicted_first_event: Duration::from_secs_f64(best.wait_ms / 1000.0),
            uncached_tokens: best.uncached_tokens,
            cached_tokens: best.cached_tokens,
            max_cached_tokens: most_held.map_or(0, |holder| holder.cached_tokens),
            fetch_from,
        })
    }

    /// Returns the engines to look at first where many routers choose by news that is some hundred
    /// milliseconds old: if all looked at all engines, they would choose the same one.
    fn preferred(&self, request: &PlacementRequest, candidates: &[Candidate]) -> Vec<ServerKey> {
        let Some(prompt) = request.prompt.filter(|_| self.peers.len() >= MANY_PEERS) else {
            return candidates
                .iter()
                .map(|candidate| candidate.server.key)
                .collect();
        };
        let servers: Vec<&Server> = candidates
            .iter()
            .map(|candidate| candidate.server)
            .collect();
        let mut preferred = Vec::new();
        if let Some(shared) = prompt
            .last_shared()
            .filter(|part| part.tokens >= SHARED_TOKENS)
        {
            preferred.extend(homes(shared.id, &servers, RANKS));
        }
        if let Some(own) = prompt.parts.last() {
            // The own part is another one for each request: a random choice.
            preferred.extend(homes(own.id, &servers, CHOICES));
        }
        preferred
    }

    /// Returns the servers to choose from: those set aside only where no other is left.
    fn servers<'a>(&'a self, request: &'a PlacementRequest, now: Duration) -> Vec<&'a Server> {
        let untried: Vec<&Server> = self
            .registry
            .usable(request.service)
            .filter(|server| !request.tried.contains(&server.key))
            .collect();
        let healthy: Vec<&Server> = untried
            .iter()
            .copied()
            .filter(|server| {
                self.states
                    .get(&server.key)
                    .is_none_or(|state| !state.health.is_ejected(now))
            })
            .collect();
        if healthy.is_empty() { untried } else { healthy }
    }

    fn plain<'a>(&self, request: &PlacementRequest, servers: &[&'a Server]) -> Vec<Candidate<'a>> {
        servers
            .iter()
            .map(|server| {
                let running = self.total_load(server.key).running;
                let obstacle = (!self.has_connection(request, server)).then_some(Obstacle::Slots);
                let filled = running as f64 / f64::from(server.slots.max(1));
                let cost_ms = filled * FILLED_COST_MS + self.common_cost_ms(request, server);
                Candidate {
                    server,
                    cost_ms,
                    wait_ms: 0.0,
                    uncached_tokens: 0,
                    cached_tokens: 0,
                    used_at: None,
                    queue_ms: 0.0,
                    obstacle,
                }
            })
            .collect()
    }

    fn engines<'a>(
        &self,
        request: &PlacementRequest,
        prompt: &Prompt,
        servers: &[&'a Server],
    ) -> Vec<Candidate<'a>> {
        let shared_tokens: u64 = prompt.shared().iter().map(|part| part.tokens).sum();
        let held: Vec<u64> = servers
            .iter()
            .map(|server| self.cached_tokens(server.key, prompt))
            .collect();
        let most_held = held.iter().copied().max().unwrap_or(0);
        let reading_ms = shared_tokens as f64 / self.tuning.prefill_tokens_per_ms;
        let homes = prompt
            .last_shared()
            .map_or_else(Vec::new, |part| homes(part.id, servers, RANKS));
        servers
            .iter()
            .zip(held)
            .map(|(server, cached_tokens)| {
                let mut candidate = self.engine(request, prompt, server, cached_tokens, most_held);
                let rank = homes
                    .iter()
                    .position(|key| *key == server.key)
                    .unwrap_or(RANKS);
                candidate.cost_ms += RANK_COST * rank as f64 * reading_ms;
                candidate
            })
            .collect()
    }

    fn engine<'a>(
        &self,
        request: &PlacementRequest,
        prompt: &Prompt,
        server: &'a Server,
        cached_tokens: u64,
        most_held: u64,
    ) -> Candidate<'a> {
        let load = self.total_load(server.key);
        let uncached_tokens = prompt.tokens.saturating_sub(cached_tokens);
        let fetched = if request.can_fetch {
            most_held.saturating_sub(cached_tokens)
        } else {
            0
        };
        let read_tokens = uncached_tokens - fetched.min(uncached_tokens);
        let pace = self.states.get(&server.key).map_or(1.0, |state| state.pace);
        let token_ms = pace / self.tuning.prefill_tokens_per_ms;
        let queue_ms = load.pending_prefill_tokens as f64 * token_ms;
        let wait_ms =
            queue_ms + read_tokens as f64 * token_ms + millis(self.tuning.first_event_overhead);
        let cost_ms = wait_ms
            + FETCH_COST * fetched as f64 * token_ms
            + load.running as f64 * millis(self.tuning.running_cost)
            + self.common_cost_ms(request, server);
        Candidate {
            server,
            cost_ms,
            wait_ms,
            uncached_tokens: read_tokens,
            cached_tokens,
            used_at: self.used_at(server.key, prompt),
            queue_ms,
            obstacle: self.obstacle(request, prompt, server, load, queue_ms, wait_ms),
        }
    }

    fn common_cost_ms(&self, request: &PlacementRequest, server: &Server) -> f64 {
        let mut cost_ms = 0.0;
        if server.domain != request.domain {
            cost_ms += millis(self.tuning.domain_cost);
        }
        let is_degraded = self
            .states
            .get(&server.key)
            .is_some_and(|state| state.health.is_degraded());
        if is_degraded || !server.warm_up.is_zero() {
            cost_ms += millis(self.tuning.degraded_cost);
        }
        cost_ms
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
        let least = |value: fn(&Candidate) -> f64| {
            candidates.iter().map(value).fold(f64::INFINITY, f64::min)
        };
        let count = |obstacle: Obstacle| {
            candidates
                .iter()
                .filter(|candidate| candidate.obstacle == Some(obstacle))
                .count()
        };
        let wait_ms = least(|candidate| candidate.wait_ms);
        let over_ms = (wait_ms - millis(request.objective) * self.tuning.admit_share).max(0.0);
        Congestion {
            available_in: Duration::from_secs_f64(over_ms / 1000.0),
            min_queue: Duration::from_secs_f64(least(|candidate| candidate.queue_ms) / 1000.0),
            late: count(Obstacle::Late),
            full: count(Obstacle::Slots),
            out_of_memory: count(Obstacle::Memory),
        }
    }
}
