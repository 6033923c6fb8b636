//! Counters and histograms, served as text.

use prometheus::{
    Encoder, Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the time to the first byte, in seconds; they include the usual objectives.
const FIRST_BYTE_BUCKETS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.12, 0.15, 0.25, 0.4, 0.5, 0.8, 1.0, 2.0, 5.0,
];

/// The metrics of a router.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Repeats by reason.
    pub retries: IntCounterVec,
    /// Repeats that the budget did not allow, by service.
    pub retries_denied: IntCounterVec,
    /// Servers that were set aside, by service.
    pub ejections: IntCounterVec,
    /// Datagrams of other routers by what became of them.
    pub datagrams: IntCounterVec,
    /// Opened connections by service.
    pub connections: IntCounterVec,
    /// Fetches of cached prompt parts between engines, by service.
    pub fetches: IntCounterVec,
    /// Time from a request's arrival to the first byte of its answer.
    pub first_byte: Histogram,
    /// Requests that are under way.
    pub under_way: IntGauge,
}

impl Metrics {
    /// Makes and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics where two metrics have the same name, which is a mistake in this file.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels).expect("valid name");
            registry
                .register(Box::new(counter.clone()))
                .expect("unique name");
            counter
        };
        let first_byte = Histogram::with_opts(
            HistogramOpts::new(
                "baobab_first_byte_seconds",
                "Time to the first byte of an answer.",
            )
            .buckets(FIRST_BYTE_BUCKETS_S.to_vec()),
        )
        .expect("valid name");
        registry
            .register(Box::new(first_byte.clone()))
            .expect("unique name");
        let under_way = IntGauge::new("baobab_requests_under_way", "Requests that are under way.")
            .expect("valid name");
        registry
            .register(Box::new(under_way.clone()))
            .expect("unique name");
        Self {
            requests: counter(
                "baobab_requests_total",
                "Requests by outcome.",
                &["service", "outcome"],
            ),
            refusals: counter("baobab_refusals_total", "Refusals by reason.", &["reason"]),
            retries: counter("baobab_retries_total", "Repeats by reason.", &["reason"]),
            retries_denied: counter(
                "baobab_retries_denied_total",
                "Repeats without budget.",
                &["service"],
            ),
            ejections: counter("baobab_ejections_total", "Servers set aside.", &["service"]),
            datagrams: counter(
                "baobab_datagrams_total",
                "Datagrams of routers.",
                &["outcome"],
            ),
            connections: counter(
                "baobab_connections_opened_total",
                "Opened connections.",
                &["service"],
            ),
            fetches: counter(
                "baobab_cache_fetches_total",
                "Fetches between engines.",
                &["service"],
            ),
            first_byte,
            under_way,
            registry,
        }
    }

    /// Writes all metrics as text.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics could not be written: {error}");
        }
        text
    }
}
