//! Continuous batching of an engine's concurrent streams.

use {
    super::{EngineConf, EngineStats},
    std::{
        collections::{BTreeSet, VecDeque},
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

#[derive(Debug)]
struct State {
    stats: EngineStats,
    updated_at: Instant,
    cached_prefixes: VecDeque<u32>,
    running: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    started_ids: BTreeSet<String>,
    slowdown: f64,
    load_samples: VecDeque<(Instant, u32)>,
}

/// Continuous batch: every request is admitted, and each stream lengthens the steps of all.
#[derive(Debug)]
pub struct Batch {
    conf: EngineConf,
    started: Instant,
    state: Mutex<State>,
}

impl Batch {
    /// Creates an empty batch.
    #[must_use]
    pub fn start(conf: EngineConf) -> Self {
        let now = Instant::now();
        let stats = EngineStats {
            slots: conf.slots,
            ..EngineStats::default()
        };
        Self {
            conf,
            started: now,
            state: Mutex::new(State {
                stats,
                updated_at: now,
                cached_prefixes: VecDeque::new(),
                running: BTreeSet::new(),
                cancelled: BTreeSet::new(),
                started_ids: BTreeSet::new(),
                slowdown: 1.0,
                load_samples: VecDeque::new(),
            }),
        }
    }

    /// Admits a stream and returns the prefill time of its prompt.
    pub fn admit(&self, id: &str, prompt: &str, offset: u64) -> Duration {
        let prefix = baobab_unit::id_of(&prompt.chars().take(256).collect::<String>());
        let mut state = self.update_slot_times();
        state.started_ids.insert(id.to_owned());
        state.running.insert(id.to_owned());
        state.stats.running += 1;
        state.stats.started += 1;
        state.stats.resumed += u64::from(offset > 0);
        let is_cached = state.cached_prefixes.contains(&prefix);
        state.stats.prefix_hits += u64::from(is_cached);
        state.cached_prefixes.retain(|known| *known != prefix);
        state.cached_prefixes.push_back(prefix);
        if state.cached_prefixes.len() > self.conf.cached_prefixes {
            state.cached_prefixes.pop_front();
        }
        if is_cached {
            return Duration::ZERO;
        }
        let kilobytes = prompt.len() as f64 / 1000.0;
        self.conf.prefill_per_thousand.mul_f64(kilobytes)
    }

    /// Removes a stream; one that is not complete counts as cancelled.
    pub fn remove(&self, id: &str, complete: bool) {
        let mut state = self.update_slot_times();
        state.stats.running -= 1;
        state.stats.cancelled += u64::from(!complete);
        state.cancelled.remove(id);
        state.running.remove(id);
    }

    /// Counts a token and returns the duration of its step.
    pub fn count_token(&self) -> Duration {
        let mut state = self.lock();
        state.stats.tokens += 1;
        let step = self.conf.step_base + self.conf.step_per_stream * state.stats.running;
        step.mul_f64(state.slowdown)
    }

    /// Marks a stream for cancellation if it runs. Other ids are ignored: such a request may be
    /// resumed here later.
    pub fn cancel(&self, id: &str) {
        let mut state = self.lock();
        if state.running.contains(id) {
            state.cancelled.insert(id.to_owned());
        }
    }

    /// Whether a stream is marked for cancellation.
    #[must_use]
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.lock().cancelled.contains(id)
    }

    /// Returns the identifiers of all requests started so far.
    #[must_use]
    pub fn started_ids(&self) -> Vec<String> {
        self.lock().started_ids.iter().cloned().collect()
    }

    /// Sets the factor by which every step takes longer.
    pub fn set_slowdown(&self, factor: f64) {
        self.lock().slowdown = factor;
    }

    /// Returns the counters.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        let mut stats = self.update_slot_times().stats.clone();
        stats.uptime_ms = baobab_unit::millis(self.started.elapsed());
        stats
    }

    /// Returns the number of streams as of about `load_lag` ago.
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        let mut state = self.update_slot_times();
        let now = Instant::now();
        let running = state.stats.running;
        state.load_samples.push_back((now, running));
        while state
            .load_samples
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= self.conf.load_lag)
        {
            state.load_samples.pop_front();
        }
        state.load_samples.front().map_or(0, |(_, load)| *load)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the time since the last update to the slot-time counters.
    fn update_slot_times(&self) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        let now = Instant::now();
        // Fractions of a millisecond carry over to the next update.
        let elapsed_ms = baobab_unit::millis(now.duration_since(state.updated_at));
        if elapsed_ms > 0 {
            state.updated_at += Duration::from_millis(elapsed_ms);
            let busy = state.stats.running.min(self.conf.slots);
            let excess = state.stats.running - busy;
            state.stats.busy_slot_ms += elapsed_ms * u64::from(busy);
            state.stats.overload_slot_ms += elapsed_ms * u64::from(excess);
        }
        state
    }
}
