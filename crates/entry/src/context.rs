//! State shared by all threads of a router.

use {
    crate::{audit_log::AuditLog, config::ActiveConfiguration, control::Command, metrics::Metrics},
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

/// Settings, clients and shared state of a running router.
pub struct AppContext {
    /// Settings from the configuration file.
    pub conf: RouterConf,
    /// Monotonic clock that starts at zero with the context.
    pub clock: Clock,
    /// Incarnation of this process: its start in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Client of the platform: table, object store and host list.
    pub platform: Arc<dyn Platform>,
    /// Client of engines for token streams.
    pub engines: Arc<dyn EngineClient>,
    /// Client of plain services.
    pub services: Arc<dyn ServiceClient>,
    /// The active configuration.
    pub config: ActiveConfiguration,
    /// Channel to the control thread.
    pub commands: Sender<Command>,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// Audit log of decisions.
    pub audit: AuditLog,
    /// Client of engines for orders.
    pub orders: Arc<dyn OrderClient>,
    /// Whether this host is elected to give orders to engines.
    pub is_orders_host: AtomicBool,
    /// Whether a planned stop has begun.
    pub draining: AtomicBool,
    /// Requests in flight on the callers' interface.
    pub in_flight: AtomicU64,
    connect_addresses: HashMap<SocketAddr, SocketAddr>,
    next_request_number: AtomicU64,
}

/// Components that are created before the context and passed into it.
pub struct Dependencies {
    /// Client of the platform.
    pub platform: Arc<dyn Platform>,
    /// Client of engines for token streams.
    pub engines: Arc<dyn EngineClient>,
    /// Client of plain services.
    pub services: Arc<dyn ServiceClient>,
    /// Client of engines for orders.
    pub orders: Arc<dyn OrderClient>,
    /// Channel to the control thread.
    pub commands: Sender<Command>,
    /// Prometheus metrics.
    pub metrics: Metrics,
    /// Audit log of decisions.
    pub audit: AuditLog,
}

impl AppContext {
    /// Creates the context. The clock starts here.
    pub fn new(conf: RouterConf, incarnation: Incarnation, dependencies: Dependencies) -> Self {
        let connect_addresses = conf
            .address_overrides
            .iter()
            .map(|entry| (entry.declared, entry.reached))
            .collect();
        Self {
            conf,
            clock: Clock::start(),
            incarnation,
            platform: dependencies.platform,
            engines: dependencies.engines,
            services: dependencies.services,
            config: ActiveConfiguration::default(),
            commands: dependencies.commands,
            metrics: dependencies.metrics,
            audit: dependencies.audit,
            orders: dependencies.orders,
            is_orders_host: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            connect_addresses,
            next_request_number: AtomicU64::new(1),
        }
    }

    /// Returns the address to connect to from this host for a declared address.
    pub fn connect_address(&self, declared: SocketAddr) -> SocketAddr {
        self.connect_addresses
            .get(&declared)
            .copied()
            .unwrap_or(declared)
    }

    /// Returns a new request identifier, unique in the fleet.
    pub fn next_request_id(&self) -> String {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{number:x}", self.conf.host, self.incarnation)
    }

    /// Sends a command to the control thread, which runs as long as the process.
    pub fn send_command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::error!("control thread has stopped; a command is lost");
        }
    }
}
