//! The engines of a pool: slots, and how fast they serve.

use {
    crate::{EngineSlots, router_view::RouterView, routers::Routers},
    baobab_unit::{EngineId, Token},
    std::{collections::BTreeMap, time::Duration},
};

/// Time over which an engine's speed is averaged.
const SPEED_PERIOD: Duration = Duration::from_millis(500);
/// Time of running streams, summed, that a measurement of an engine takes.
const LEAST_STREAM_SECONDS: f64 = 4.0;
/// Weight of the newest period in the average.
const SPEED_GAIN: f64 = 0.4;
/// An engine slower than this part of the pool's median is given fewer streams.
const SLOW_PART: f64 = 0.35;
/// Part of its slots that a slow engine keeps.
const SLOW_SLOTS_PART: u32 = 4;

/// One engine.
#[derive(Debug)]
pub struct EngineView {
    slots: u32,
    leaving: bool,
    slow: bool,
    tokens: Token,
    stream_seconds: f64,
    stream_rate: Option<f64>,
}

/// The engines of a pool.
#[derive(Debug, Default)]
pub struct Engines {
    views: BTreeMap<EngineId, EngineView>,
    counted: Duration,
    measured: Duration,
    stream_rate: f64,
}

impl Engines {
    /// Replaces the declared engines, keeping what was measured.
    pub fn set(&mut self, engines: &[EngineSlots]) {
        let mut before = std::mem::take(&mut self.views);
        for engine in engines {
            let mut view = before.remove(&engine.engine).unwrap_or(EngineView {
                slots: 0,
                leaving: false,
                slow: false,
                tokens: 0,
                stream_seconds: 0.0,
                stream_rate: None,
            });
            view.slots = engine.slots;
            view.leaving = engine.leaving;
            self.views.insert(engine.engine, view);
        }
    }

    /// Adds tokens served by an engine.
    pub fn charge(&mut self, engine: EngineId, tokens: Token) {
        if let Some(view) = self.views.get_mut(&engine) {
            view.tokens += tokens;
        }
    }

    /// Tokens a second that a stream of the pool receives.
    pub fn stream_rate(&self) -> f64 {
        self.stream_rate
    }

    /// Sets the rate assumed until the first measurement.
    pub fn assume_rate(&mut self, tokens_per_second: f64) {
        self.stream_rate = tokens_per_second;
    }

    /// Engines that are slow now.
    pub fn slow_total(&self) -> u32 {
        let count = self.views.values().filter(|view| view.slow).count();
        baobab_unit::to_u32(count)
    }

    /// Slots of all engines that take work.
    pub fn slots_total(&self) -> u32 {
        self.views.values().map(EngineView::usable_slots).sum()
    }

    /// Free slots of all engines that take work.
    pub fn free_total(&self, routers: &Routers) -> u32 {
        self.views
            .iter()
            .map(|(id, view)| view.usable_slots().saturating_sub(routers.in_use(*id)))
            .sum()
    }

    /// Returns the engine with the largest free part that the router can reach.
    pub fn freest(&self, routers: &Routers, router: Option<&RouterView>) -> Option<EngineId> {
        self.views
            .iter()
            .filter(|(id, _)| !router.is_some_and(|view| view.is_failing(**id)))
            .filter_map(|(id, view)| {
                let slots = view.usable_slots();
                let free = slots.saturating_sub(routers.in_use(*id));
                (free > 0).then(|| (*id, f64::from(free) / f64::from(slots)))
            })
            .max_by(|one, other| one.1.total_cmp(&other.1))
            .map(|(id, _)| id)
    }

    /// Adds up how long streams have run, and measures the speeds once in a period.
    pub fn measure(&mut self, now: Duration, routers: &Routers) {
        let elapsed = now.saturating_sub(self.counted);
        self.counted = now;
        for (id, view) in &mut self.views {
            view.stream_seconds += f64::from(routers.running(*id)) * elapsed.as_secs_f64();
        }
        if now < self.measured + SPEED_PERIOD {
            return;
        }
        self.measured = now;
        for view in self.views.values_mut() {
            view.measure();
        }
        self.judge();
    }

    fn judge(&mut self) {
        let mut rates: Vec<f64> = self
            .views
            .values()
            .filter_map(|view| view.stream_rate)
            .collect();
        if rates.is_empty() {
            return;
        }
        rates.sort_by(f64::total_cmp);
        let median = rates[rates.len() / 2];
        self.stream_rate = median;
        for view in self.views.values_mut() {
            view.slow = view
                .stream_rate
                .is_some_and(|rate| rate < median * SLOW_PART);
        }
    }
}

impl EngineView {
    fn usable_slots(&self) -> u32 {
        match (self.leaving, self.slow) {
            (true, _) => 0,
            (false, true) => (self.slots / SLOW_SLOTS_PART).max(1),
            (false, false) => self.slots,
        }
    }

    fn measure(&mut self) {
        if self.stream_seconds < LEAST_STREAM_SECONDS {
            return;
        }
        let rate = std::mem::take(&mut self.tokens) as f64 / self.stream_seconds;
        self.stream_seconds = 0.0;
        let before = self.stream_rate.unwrap_or(rate);
        self.stream_rate = Some(before + (rate - before) * SPEED_GAIN);
    }
}
