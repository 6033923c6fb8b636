//! Counters and gauges in the Prometheus format.

use {
    prometheus::{
        Encoder, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
        process_collector::ProcessCollector,
    },
    std::sync::Arc,
};

/// All metrics of a router.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Arc<Registry>,
    /// Requests served to completion, by kind: `chat` or `service`.
    pub served: IntCounterVec,
    /// Requests refused or failed, by problem code.
    pub refusals: IntCounterVec,
    /// Retries of requests, by reason.
    pub retries: IntCounterVec,
    /// Received peer datagrams dropped, by reason.
    pub datagrams_dropped: IntCounterVec,
    /// Bytes of peer datagrams sent, headers included, by scope: same or other failure domain.
    pub control_bytes: IntCounterVec,
    /// Messages sent to peers, by kind and scope.
    pub messages: IntCounterVec,
    /// Tokens sent to callers.
    pub tokens: IntCounter,
    /// Grants by outcome: used, declined, or taken from the local share.
    pub grants: IntCounterVec,
    /// Callers that disconnected before the end of their response.
    pub callers_gone: IntCounter,
    /// Requests waiting in the queue.
    pub waiting: IntGauge,
    /// Streams running.
    pub streams: IntGauge,
    /// Version of the active configuration.
    pub config_version: IntGauge,
    /// Status summed over the dispatchers of this host, by figure.
    pub dispatcher: IntGaugeVec,
    /// Audit log: pending and dropped records, batches and bytes written; also records lost to
    /// overrun.
    pub audit: IntGaugeVec,
    /// Time that the control thread was busy, in microseconds.
    pub control_busy_us: IntCounter,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn open() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        registry.register(Box::new(ProcessCollector::for_self()))?;
        let counters = |name: &str, help: &str, label: &str| -> Result<_, prometheus::Error> {
            let vector = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(vector.clone()))?;
            Ok(vector)
        };
        let counter = |name: &str, help: &str| -> Result<_, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<_, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let gauges = |name: &str, help: &str, label: &str| -> Result<_, prometheus::Error> {
            let vector = IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(vector.clone()))?;
            Ok(vector)
        };
        Ok(Self {
            served: counters(
                "baobab_served_total",
                "Requests answered as complete.",
                "kind",
            )?,
            refusals: counters(
                "baobab_refusals_total",
                "Requests refused or given up.",
                "reason",
            )?,
            retries: counters("baobab_retries_total", "Requests sent again.", "reason")?,
            datagrams_dropped: counters(
                "baobab_datagrams_dropped_total",
                "Peer datagrams dropped.",
                "reason",
            )?,
            control_bytes: counters(
                "baobab_control_bytes_total",
                "Bytes of peer datagrams sent, with 28 bytes of headers each.",
                "scope",
            )?,
            messages: {
                let options = Opts::new("baobab_messages_total", "Messages sent to peers.");
                let vector = IntCounterVec::new(options, &["kind", "scope"])?;
                registry.register(Box::new(vector.clone()))?;
                vector
            },
            tokens: counter("baobab_tokens_total", "Tokens sent to callers.")?,
            grants: counters("baobab_grants_total", "Grants received.", "outcome")?,
            callers_gone: counter("baobab_callers_gone_total", "Callers who went away early.")?,
            waiting: gauge("baobab_waiting", "Requests waiting.")?,
            streams: gauge("baobab_streams", "Streams running.")?,
            config_version: gauge("baobab_config_version", "Configuration in force.")?,
            dispatcher: gauges(
                "baobab_dispatcher",
                "Sums over this host's dispatchers.",
                "figure",
            )?,
            audit: gauges("baobab_audit", "Audit records.", "figure")?,
            control_busy_us: counter(
                "baobab_control_busy_microseconds_total",
                "Time that the control thread was busy.",
            )?,
            registry: Arc::new(registry),
        })
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("failed to render metrics: {error}");
        }
        text
    }
}
