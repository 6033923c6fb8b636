//! The body of `/status`.

use {crate::context::AppContext, serde::Serialize, std::sync::atomic::Ordering};

/// Status of a router as served to operators.
#[derive(Debug, Serialize)]
pub struct Status {
    host: String,
    domain: String,
    incarnation: u64,
    uptime_ms: u64,
    ready: bool,
    draining: bool,
    config_version: u64,
    config_digest: String,
    config_confirmed_ms_ago: Option<u64>,
    in_flight: u64,
}

impl Status {
    /// Reads the current status from the context.
    pub fn collect(context: &AppContext) -> Self {
        let now = context.clock.now();
        let configuration = context.config.get();
        let draining = context.draining.load(Ordering::Relaxed);
        Self {
            host: context.conf.host.clone(),
            domain: context.conf.domain.clone(),
            incarnation: context.incarnation,
            uptime_ms: baobab_unit::millis(now),
            ready: configuration.is_some() && !draining,
            draining,
            config_version: context.config.version(),
            config_digest: configuration
                .map_or(String::new(), |configuration| configuration.digest.clone()),
            config_confirmed_ms_ago: context
                .config
                .confirmed_at()
                .map(|at| baobab_unit::millis(now.saturating_sub(at))),
            in_flight: context.in_flight.load(Ordering::Relaxed),
        }
    }
}
