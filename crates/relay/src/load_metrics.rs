//! Prometheus metrics of this router's own load.

use prometheus::{IntCounter, IntGauge, Registry};

/// Metrics of this router's own load.
#[derive(Debug)]
pub struct LoadMetrics {
    /// Connections of callers that were accepted.
    pub accepted: IntCounter,
    /// Turns of the task that accepts callers' connections.
    pub accept_turns: IntCounter,
    /// Callers' connections whose first request has not been read.
    pub unread_connections: IntGauge,
    /// Connections of callers that were turned away unread.
    pub turned_away: IntCounter,
    /// Choices of a server.
    pub placements: IntCounter,
    /// Servers that were examined for them.
    pub examined: IntCounter,
    /// Fraction of its time for which the traffic thread waits for work, in percent.
    pub idle_percent: IntGauge,
}

impl LoadMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a bug in this file.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        let total = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("valid name");
            registry
                .register(Box::new(counter.clone()))
                .expect("unique name");
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid name");
            registry
                .register(Box::new(gauge.clone()))
                .expect("unique name");
            gauge
        };
        Self {
            accepted: total(
                "baobab_accepted_connections_total",
                "Connections of callers that were accepted.",
            ),
            accept_turns: total(
                "baobab_accept_turns_total",
                "Turns of the task that accepts connections.",
            ),
            turned_away: total(
                "baobab_connections_turned_away_total",
                "Connections of callers whose request was refused unread.",
            ),
            unread_connections: gauge(
                "baobab_unread_connections",
                "Connections of callers whose first request has not been read.",
            ),
            placements: total("baobab_placements_total", "Choices of a server."),
            examined: total(
                "baobab_servers_examined_total",
                "Servers that were examined for choices of one.",
            ),
            idle_percent: gauge(
                "baobab_traffic_idle_percent",
                "Time for which the traffic thread waits for work, in percent.",
            ),
        }
    }
}
