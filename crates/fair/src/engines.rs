//! The engines of a pool: slots and measured rates.

use {
    crate::{EngineSlots, router_view::RouterView, routers::Routers},
    baobab_unit::{EngineId, Token},
    std::{collections::BTreeMap, time::Duration},
};

/// Minimum interval between two measurements of the engines' rates.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum stream time, summed over streams, for a measurement of an engine.
const MIN_STREAM_SECONDS: f64 = 4.0;
/// Weight of the newest measurement in the moving average.
const RATE_GAIN: f64 = 0.4;
/// Fraction of the pool's median rate below which an engine gets fewer streams.
const SLOW_RATIO: f64 = 0.35;
/// Divisor of a slow engine's slots.
const SLOW_SLOTS_DIVISOR: u32 = 4;

/// Declared slots and measured rate of one engine.
#[derive(Debug)]
pub struct EngineState {
    slots: u32,
    leaving: bool,
    is_slow: bool,
    tokens: Token,
    stream_seconds: f64,
    stream_rate: Option<f64>,
}

/// The engines of a pool.
#[derive(Debug, Default)]
pub struct Engines {
    states: BTreeMap<EngineId, EngineState>,
    last_counted: Duration,
    last_measured: Duration,
    stream_rate: f64,
}

impl Engines {
    /// Replaces the declared engines, keeping the measurements of those that remain.
    pub fn set(&mut self, engines: &[EngineSlots]) {
        let mut previous = std::mem::take(&mut self.states);
        for engine in engines {
            let mut state = previous.remove(&engine.engine).unwrap_or(EngineState {
                slots: 0,
                leaving: false,
                is_slow: false,
                tokens: 0,
                stream_seconds: 0.0,
                stream_rate: None,
            });
            state.slots = engine.slots;
            state.leaving = engine.leaving;
            self.states.insert(engine.engine, state);
        }
    }

    /// Adds tokens to an engine's current measurement.
    pub fn charge(&mut self, engine: EngineId, tokens: Token) {
        if let Some(state) = self.states.get_mut(&engine) {
            state.tokens += tokens;
        }
    }

    /// Returns the median rate of a stream of the pool, in tokens a second.
    pub fn stream_rate(&self) -> f64 {
        self.stream_rate
    }

    /// Sets the stream rate to use until the first measurement.
    pub fn assume_rate(&mut self, tokens_per_second: f64) {
        self.stream_rate = tokens_per_second;
    }

    /// Returns the number of slow engines.
    pub fn slow_total(&self) -> u32 {
        let count = self.states.values().filter(|state| state.is_slow).count();
        baobab_unit::to_u32(count)
    }

    /// Returns the usable slots of all engines.
    pub fn slots_total(&self) -> u32 {
        self.states.values().map(EngineState::usable_slots).sum()
    }

    /// Returns the free slots of all engines.
    pub fn free_total(&self, routers: &Routers) -> u32 {
        self.states
            .iter()
            .map(|(id, state)| state.usable_slots().saturating_sub(routers.in_use(*id)))
            .sum()
    }

    /// Returns the engine with the largest free fraction of its slots, without those that the
    /// router reports as failing.
    pub fn least_loaded(&self, routers: &Routers, router: Option<&RouterView>) -> Option<EngineId> {
        self.states
            .iter()
            .filter(|(id, _)| !router.is_some_and(|view| view.is_failing(**id)))
            .filter_map(|(id, state)| {
                let slots = state.usable_slots();
                let free = slots.saturating_sub(routers.in_use(*id));
                (free > 0).then(|| (*id, f64::from(free) / f64::from(slots)))
            })
            .max_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(id, _)| id)
    }

    /// Accumulates the time of running streams, and measures the rates once per
    /// `MEASUREMENT_INTERVAL`.
    pub fn measure(&mut self, now: Duration, routers: &Routers) {
        let elapsed = now.saturating_sub(self.last_counted);
        self.last_counted = now;
        for (id, state) in &mut self.states {
            state.stream_seconds += f64::from(routers.running(*id)) * elapsed.as_secs_f64();
        }
        if now < self.last_measured + MEASUREMENT_INTERVAL {
            return;
        }
        self.last_measured = now;
        for state in self.states.values_mut() {
            state.measure();
        }
        self.classify();
    }

    fn classify(&mut self) {
        let mut rates: Vec<f64> = self
            .states
            .values()
            .filter_map(|state| state.stream_rate)
            .collect();
        if rates.is_empty() {
            return;
        }
        rates.sort_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        self.stream_rate = median;
        for state in self.states.values_mut() {
            state.is_slow = state
                .stream_rate
                .is_some_and(|rate| rate < median * SLOW_RATIO);
        }
    }
}

impl EngineState {
    fn usable_slots(&self) -> u32 {
        match (self.leaving, self.is_slow) {
            (true, _) => 0,
            (false, true) => (self.slots / SLOW_SLOTS_DIVISOR).max(1),
            (false, false) => self.slots,
        }
    }

    fn measure(&mut self) {
        if self.stream_seconds < MIN_STREAM_SECONDS {
            return;
        }
        let rate = std::mem::take(&mut self.tokens) as f64 / self.stream_seconds;
        self.stream_seconds = 0.0;
        let previous = self.stream_rate.unwrap_or(rate);
        self.stream_rate = Some(previous + (rate - previous) * RATE_GAIN);
    }
}
