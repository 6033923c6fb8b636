//! Samples of servers, for fleets in which no router knows the load of every server.
//!
//! The best of a few servers whose load is known exactly is a better choice than the best of all by
//! reports that are as old as a request lasts, since all routers would choose the same one. It also costs less
//! the more servers there are.

use {
    crate::{Load, PlacementError, PlacementRequest, Placer, ServerKey, convert::millis},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{cmp::Reverse, collections::BinaryHeap, time::Duration},
};

/// Random servers of a sample that also has the engines ranked for the prompt.
const RANDOM_BESIDE_RANKED: usize = 3;
/// Servers of a sample without ranked engines.
const RANDOM_ALONE: usize = 6;
/// Servers that are considered of those whose load is known.
const MAX_KNOWN: usize = 16;
/// Minimum length of the last shared part, in tokens, for which its ranked engines are sampled.
const MIN_SHARED_TOKENS: u64 = 1000;

impl Placer {
    /// Returns servers whose load is known, for a router that cannot ask for that of others: those of `sample`, and
    /// the least loaded ones of all others.
    ///
    /// # Errors
    ///
    /// Like [`Placer::place`], if no server can be used.
    pub fn known_servers(
        &self,
        request: &PlacementRequest,
        sample: &[ServerKey],
        now: Duration,
    ) -> Result<Vec<ServerKey>, PlacementError> {
        let is_known = |key: &ServerKey| self.peers.has_answer(*key);
        let mut known: Vec<ServerKey> = sample.iter().copied().filter(is_known).collect();
        let mut others: BinaryHeap<Reverse<(u64, ServerKey)>> = self
            .peers
            .known_loads()
            .filter(|(key, _)| !sample.contains(key))
            .map(|(key, load)| Reverse((self.backlog_us(key, load), key)))
            .collect();
        while known.len() < MAX_KNOWN
            && let Some(Reverse((_, key))) = others.pop()
        {
            if self.is_healthy(request, key, now) {
                known.push(key);
            }
        }
        if known.is_empty() {
            // Without a server, the reason is returned.
            self.eligible_servers(request, now)?;
        }
        known.sort_unstable();
        Ok(known)
    }

    /// Returns what the requests at a server cost a further one, in microseconds; `others` is the load of the other
    /// routers.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn backlog_us(&self, key: ServerKey, others: Load) -> u64 {
        let mut load = others;
        if let Some(state) = self.states.get(&key) {
            load += state.load;
        }
        let prefill_ms = load.pending_prefill_tokens as f64 / self.tuning.prefill_tokens_per_ms;
        let running_ms = load.running as f64 * millis(self.tuning.running_cost);
        ((prefill_ms + running_ms) * 1000.0) as u64
    }

    /// Returns the servers to consider for a request. The sample of the first round contains the
    /// engines ranked for the prompt's last shared part; those of later rounds are random.
    ///
    /// # Errors
    ///
    /// Like [`Placer::place`], if no server can be used.
    pub fn sample(
        &self,
        request: &PlacementRequest,
        round: u32,
        now: Duration,
    ) -> Result<Vec<ServerKey>, PlacementError> {
        let seed = request.seed.wrapping_add(u64::from(round));
        let prompt = request.prompt.filter(|prompt| {
            let shared = prompt.last_shared();
            round == 0 && shared.is_some_and(|part| part.tokens >= MIN_SHARED_TOKENS)
        });
        let mut sample =
            prompt.map_or_else(Vec::new, |prompt| self.ranked_engines(request, prompt, now));
        let wanted = if prompt.is_some() {
            RANDOM_BESIDE_RANKED
        } else {
            RANDOM_ALONE
        };
        let random = self.random_servers(request, seed, wanted, |key| {
            !sample.contains(&key) && self.is_healthy(request, key, now)
        });
        sample.extend(random);
        if sample.is_empty() {
            let ejected: Vec<ServerKey> = self
                .eligible_servers(request, now)?
                .into_iter()
                .map(|server| server.key)
                .collect();
            sample = self.random_servers(request, seed, RANDOM_ALONE, |key| ejected.contains(&key));
        }
        Ok(sample)
    }

    /// Returns up to `max` servers of the request's service, at random among those that can be chosen.
    fn random_servers(
        &self,
        request: &PlacementRequest,
        seed: u64,
        max: usize,
        can_be_chosen: impl Fn(ServerKey) -> bool,
    ) -> Vec<ServerKey> {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut keys = self.registry.usable_keys(request.service).to_vec();
        let mut chosen = Vec::with_capacity(max);
        for index in 0..keys.len() {
            if chosen.len() == max {
                break;
            }
            let other = random.random_range(index..keys.len());
            keys.swap(index, other);
            if can_be_chosen(keys[index]) {
                chosen.push(keys[index]);
            }
        }
        chosen
    }
}
