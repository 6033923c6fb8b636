//! Prometheus metrics.

use {
    crate::{connection_metrics::ConnectionMetrics, load_metrics::LoadMetrics},
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
    },
};

/// Bucket bounds of the time to the first byte, in seconds; they include the usual objectives.
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
    /// Requests that have reached servers, by service, and whether they had reached one before.
    pub sends: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Retries denied by the retry budget, by service.
    pub retries_denied: IntCounterVec,
    /// Ejections of servers, by service.
    pub ejections: IntCounterVec,
    /// Writes of the records of streams.
    pub stream_writes: IntCounter,
    /// Questions to the owners of servers, by outcome.
    pub load_queries: IntCounterVec,
    /// Permits to send requests to servers with a limit, by outcome.
    pub permits: IntCounterVec,
    /// Gossip datagrams, sent and received, by outcome.
    pub datagrams: IntCounterVec,
    /// Connections to servers.
    pub connections: ConnectionMetrics,
    /// This router's own load.
    pub load: LoadMetrics,
    /// Fetches of cached prompt parts between engines, by service.
    pub fetches: IntCounterVec,
    /// Seconds from a request's arrival to the first byte of its response.
    pub first_byte: Histogram,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Bytes that are kept of servers' responses.
    pub kept_bytes: IntGauge,
    /// Responses and events beyond the memory for them, by outcome.
    pub not_kept: IntCounterVec,
    /// Quarantined prompt parts.
    pub quarantined_parts: IntGauge,
    /// Servers that have named a limit.
    pub limited_servers: IntGauge,
    /// Servers that are cold.
    pub cold_servers: IntGauge,
    /// Evacuated failure domains.
    pub evacuated_domains: IntGauge,
    /// Requests with a prompt that are refused unread because of the router's load, in percent.
    pub shed_percent: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a bug in this file.
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
        let first_byte = first_byte_histogram();
        registry
            .register(Box::new(first_byte.clone()))
            .expect("unique name");
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid name");
            registry
                .register(Box::new(gauge.clone()))
                .expect("unique name");
            gauge
        };
        let in_flight = gauge("baobab_requests_under_way", "Requests that are under way.");
        let kept_bytes = gauge(
            "baobab_kept_response_bytes",
            "Bytes that are kept of servers' responses.",
        );
        let quarantined_parts = gauge(
            "baobab_quarantined_parts",
            "Prompt parts and requests that crash servers and are refused.",
        );
        let shed_percent = gauge(
            "baobab_shed_percent",
            "Requests that are refused unread because of the router's load, in percent.",
        );
        let [limited_servers, cold_servers, evacuated_domains] = availability_gauges(gauge);
        let stream_writes = IntCounter::new(
            "baobab_stream_record_writes_total",
            "Writes to the store of which version began streams.",
        )
        .expect("valid name");
        registry
            .register(Box::new(stream_writes.clone()))
            .expect("unique name");
        Self {
            stream_writes,
            requests: counter(
                "baobab_requests_total",
                "Requests by outcome.",
                &["service", "outcome"],
            ),
            refusals: counter("baobab_refusals_total", "Refusals by reason.", &["reason"]),
            sends: counter(
                "baobab_sends_total",
                "Requests that have reached servers.",
                &["service", "order"],
            ),
            retries: counter("baobab_retries_total", "Repeats by reason.", &["reason"]),
            retries_denied: counter(
                "baobab_retries_denied_total",
                "Repeats without budget.",
                &["service"],
            ),
            ejections: counter("baobab_ejections_total", "Servers set aside.", &["service"]),
            load_queries: counter(
                "baobab_load_queries_total",
                "Questions to the owners of servers for their load.",
                &["outcome"],
            ),
            permits: counter(
                "baobab_limit_permits_total",
                "Permits to send requests to servers with a limit.",
                &["outcome"],
            ),
            datagrams: counter(
                "baobab_datagrams_total",
                "Datagrams of routers.",
                &["outcome"],
            ),
            connections: ConnectionMetrics::new(&registry),
            load: LoadMetrics::new(&registry),
            fetches: counter(
                "baobab_cache_fetches_total",
                "Fetches between engines.",
                &["service"],
            ),
            first_byte,
            in_flight,
            kept_bytes,
            not_kept: counter(
                "baobab_responses_not_kept_total",
                "Responses and events beyond the memory for them.",
                &["outcome"],
            ),
            quarantined_parts,
            limited_servers,
            cold_servers,
            evacuated_domains,
            shed_percent,
            registry,
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot encode metrics: {error}");
        }
        text
    }
}

/// Creates the gauges of limited and cold servers, and of evacuated domains.
fn availability_gauges(gauge: impl Fn(&str, &str) -> IntGauge) -> [IntGauge; 3] {
    [
        gauge(
            "baobab_limited_servers",
            "Servers that limit the requests from all routers.",
        ),
        gauge(
            "baobab_cold_servers",
            "Servers that have just started and take few requests.",
        ),
        gauge(
            "baobab_evacuated_domains",
            "Failure domains whose servers get no requests.",
        ),
    ]
}

fn first_byte_histogram() -> Histogram {
    let options = HistogramOpts::new(
        "baobab_first_byte_seconds",
        "Time to the first byte of an answer.",
    );
    Histogram::with_opts(options.buckets(FIRST_BYTE_BUCKETS_S.to_vec())).expect("valid name")
}
