//! What a running router works with.

use {
    crate::{config::ConfigCell, control::Command, journal::AuditLog, metrics::Metrics},
    baobab_conf::RouterConf,
    baobab_engine::{EngineClient, OrderClient, ServiceClient},
    baobab_store::Platform,
    baobab_unit::{Clock, Incarnation},
    flume::Sender,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
    },
};

/// Shared by all threads of a router.
pub struct AppContext {
    /// Settings as written.
    pub conf: RouterConf,
    /// Monotonic clock.
    pub clock: Clock,
    /// This run.
    pub incarnation: Incarnation,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// The way to engines.
    pub engines: Arc<dyn EngineClient>,
    /// The way to services.
    pub services: Arc<dyn ServiceClient>,
    /// The configuration in force.
    pub config: ConfigCell,
    /// Commands to the control thread.
    pub commands: Sender<Command>,
    /// Counters.
    pub metrics: Metrics,
    /// Decisions for the auditor.
    pub audit: AuditLog,
    /// The way to give orders to engines.
    pub orders: Arc<dyn OrderClient>,
    /// Whether this host is the one that shall give orders to engines.
    pub is_orders_host: AtomicBool,
    /// Whether a planned stop has begun.
    pub draining: AtomicBool,
    /// Requests being answered.
    pub in_flight: AtomicU64,
    reach: HashMap<SocketAddr, SocketAddr>,
    next_request: AtomicU64,
}

/// The parts that are made before the context.
pub struct Parts {
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// The way to engines.
    pub engines: Arc<dyn EngineClient>,
    /// The way to services.
    pub services: Arc<dyn ServiceClient>,
    /// The way to give orders to engines.
    pub orders: Arc<dyn OrderClient>,
    /// Commands to the control thread.
    pub commands: Sender<Command>,
    /// Counters.
    pub metrics: Metrics,
    /// Decisions for the auditor.
    pub audit: AuditLog,
}

impl AppContext {
    /// Puts a context together.
    pub fn new(conf: RouterConf, incarnation: Incarnation, parts: Parts) -> Self {
        let reach = conf
            .address_overrides
            .iter()
            .map(|entry| (entry.declared, entry.reached))
            .collect();
        Self {
            conf,
            clock: Clock::start(),
            incarnation,
            platform: parts.platform,
            engines: parts.engines,
            services: parts.services,
            config: ConfigCell::default(),
            commands: parts.commands,
            metrics: parts.metrics,
            audit: parts.audit,
            orders: parts.orders,
            is_orders_host: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            reach,
            next_request: AtomicU64::new(1),
        }
    }

    /// Returns the address that reaches a declared one from this host.
    pub fn reached(&self, declared: SocketAddr) -> SocketAddr {
        self.reach.get(&declared).copied().unwrap_or(declared)
    }

    /// Draws the identifier of a new request.
    pub fn next_request_id(&self) -> String {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.conf.host, self.incarnation)
    }

    /// Sends a command to the control thread, which lives as long as the process.
    pub fn command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::error!("the control thread is gone");
        }
    }
}
