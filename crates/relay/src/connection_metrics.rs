//! Prometheus metrics of the connections to servers.

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of the connections to servers.
#[derive(Debug)]
pub struct ConnectionMetrics {
    opened: IntCounterVec,
    reused: IntCounterVec,
    /// Idle connections.
    pub idle: IntGauge,
}

impl ConnectionMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a bug in this file.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        let counter = |name: &str, help: &str| {
            let counter =
                IntCounterVec::new(Opts::new(name, help), &["service"]).expect("valid name");
            registry
                .register(Box::new(counter.clone()))
                .expect("unique name");
            counter
        };
        let idle = IntGauge::new("baobab_idle_connections", "Idle connections to servers.")
            .expect("valid name");
        registry
            .register(Box::new(idle.clone()))
            .expect("unique name");
        Self {
            opened: counter("baobab_connections_opened_total", "Opened connections."),
            reused: counter(
                "baobab_connections_reused_total",
                "Requests over connections that had another one before.",
            ),
            idle,
        }
    }

    /// Counts a connection that is opened.
    pub fn on_open(&self, service: &str) {
        self.opened.with_label_values(&[service]).inc();
    }

    /// Counts a request that was answered over a connection that had another one before.
    pub fn on_reused(&self, service: &str) {
        self.reused.with_label_values(&[service]).inc();
    }
}
