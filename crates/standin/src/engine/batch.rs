//! The streams that an engine runs at the same time.

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
    counted: Instant,
    prefixes: VecDeque<u32>,
    running: BTreeSet<String>,
    cancelled: BTreeSet<String>,
    ran: BTreeSet<String>,
    slowdown: f64,
    loads: VecDeque<(Instant, u32)>,
}

/// A continuous batch: whoever arrives is admitted, and each stream slows all others down.
#[derive(Debug)]
pub struct Batch {
    conf: EngineConf,
    started: Instant,
    state: Mutex<State>,
}

impl Batch {
    /// Starts with an empty batch.
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
                counted: now,
                prefixes: VecDeque::new(),
                running: BTreeSet::new(),
                cancelled: BTreeSet::new(),
                ran: BTreeSet::new(),
                slowdown: 1.0,
                loads: VecDeque::new(),
            }),
        }
    }

    /// Admits a stream and returns the time that reading its prompt takes.
    pub fn enter(&self, id: &str, prompt: &str, offset: u64) -> Duration {
        let prefix = baobab_unit::id_of(&prompt.chars().take(256).collect::<String>());
        let mut state = self.count();
        state.ran.insert(id.to_owned());
        state.running.insert(id.to_owned());
        state.stats.running += 1;
        state.stats.started += 1;
        state.stats.resumed += u64::from(offset > 0);
        let is_cached = state.prefixes.contains(&prefix);
        state.stats.prefix_hits += u64::from(is_cached);
        state.prefixes.retain(|known| *known != prefix);
        state.prefixes.push_back(prefix);
        if state.prefixes.len() > self.conf.cached_prefixes {
            state.prefixes.pop_front();
        }
        if is_cached {
            return Duration::ZERO;
        }
        let thousands = prompt.len() as f64 / 1000.0;
        self.conf.prefill_per_thousand.mul_f64(thousands)
    }

    /// Removes a stream.
    pub fn leave(&self, id: &str, complete: bool) {
        let mut state = self.count();
        state.stats.running -= 1;
        state.stats.cancelled += u64::from(!complete);
        state.cancelled.remove(id);
        state.running.remove(id);
    }

    /// Counts a token and returns the time until the next one.
    pub fn step(&self) -> Duration {
        let mut state = self.lock();
        state.stats.tokens += 1;
        let step = self.conf.step_base + self.conf.step_per_stream * state.stats.running;
        step.mul_f64(state.slowdown)
    }

    /// Marks a stream as to be stopped, if it runs: the request may be resumed here later.
    pub fn cancel(&self, id: &str) {
        let mut state = self.lock();
        if state.running.contains(id) {
            state.cancelled.insert(id.to_owned());
        }
    }

    /// Tells whether a stream is to be stopped.
    #[must_use]
    pub fn is_cancelled(&self, id: &str) -> bool {
        self.lock().cancelled.contains(id)
    }

    /// Returns the identifiers of all requests that were ever started.
    #[must_use]
    pub fn ran(&self) -> Vec<String> {
        self.lock().ran.iter().cloned().collect()
    }

    /// Makes every step take longer by a factor.
    pub fn set_slowdown(&self, factor: f64) {
        self.lock().slowdown = factor;
    }

    /// Returns the figures.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        let mut stats = self.count().stats.clone();
        stats.uptime_ms = baobab_unit::millis(self.started.elapsed());
        stats
    }

    /// Returns the streams as they were some time ago.
    #[must_use]
    pub fn reported_load(&self) -> u32 {
        let mut state = self.count();
        let now = Instant::now();
        let running = state.stats.running;
        state.loads.push_back((now, running));
        while state
            .loads
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= self.conf.load_lag)
        {
            state.loads.pop_front();
        }
        state.loads.front().map_or(0, |(_, load)| *load)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the time since the last count to the sums.
    fn count(&self) -> MutexGuard<'_, State> {
        let mut state = self.lock();
        let now = Instant::now();
        // Parts of a millisecond are left for the next count.
        let elapsed_ms = baobab_unit::millis(now.duration_since(state.counted));
        if elapsed_ms > 0 {
            state.counted += Duration::from_millis(elapsed_ms);
            let busy = state.stats.running.min(self.conf.slots);
            let over = state.stats.running - busy;
            state.stats.busy_slot_ms += elapsed_ms * u64::from(busy);
            state.stats.overload_slot_ms += elapsed_ms * u64::from(over);
        }
        state
    }
}
