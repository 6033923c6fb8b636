//! Starts the threads of a router and stops it in order.

use {
    crate::{
        admin::spawn_admin,
        audit_log::{AuditLog, now_ms},
        callers::CallerHandler,
        config::{ConfigWatcher, spawn_copy_server},
        context::{AppContext, Dependencies},
        control::{Command, Control, PeerSocket},
        metrics::Metrics,
        orders::spawn_orders,
    },
    baobab_audit::{Journal, audit_key},
    baobab_conf::RouterConf,
    baobab_engine::HttpBackendClient,
    baobab_store::{HttpStore, Platform},
    baobab_unit::id_of,
    baobab_web::{Limits, Server},
    baobab_wire::Codec,
    quick_error::quick_error,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        thread,
        time::Duration,
    },
};

/// Interval at which a planned stop checks whether the last request has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time budget of a planned stop for writing the last audit records.
const AUDIT_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

quick_error! {
    /// Error of starting a router.
    #[derive(Debug)]
    pub enum RouterError {
        /// The address of the named role can't be bound.
        Bind(role: &'static str, address: SocketAddr, reason: String) {
            display("the {role} address {address} can't be used: {reason}")
        }
        /// A thread can't be started.
        Thread(reason: String) {
            display("a thread can't be started: {reason}")
        }
        /// The metrics can't be registered.
        Metrics(reason: String) {
            display("the metrics can't be registered: {reason}")
        }
    }
}

/// A running router.
pub struct Router {
    context: Arc<AppContext>,
    caller_server: Server,
}

impl Router {
    /// Starts a router with all of its threads and begins to accept callers.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound, a thread can't be started or the metrics can't be
    /// registered.
    pub fn spawn(conf: RouterConf) -> Result<Self, RouterError> {
        let incarnation = now_ms();
        let metrics = Metrics::open().map_err(|error| RouterError::Metrics(error.to_string()))?;
        let platform: Arc<dyn Platform> = Arc::new(HttpStore::open(
            conf.platform_address,
            conf.platform_timeout,
        ));
        let journal = Journal::open(audit_key(&conf.fleet_key), &conf.host, incarnation);
        let audit = AuditLog::spawn(journal, Arc::clone(&platform), metrics.clone())
            .map_err(|error| thread_error(&error))?;
        let (commands, command_receiver) = flume::unbounded();
        let backend_client = Arc::new(HttpBackendClient::default());
        let dependencies = Dependencies {
            platform,
            engines: Arc::clone(&backend_client) as _,
            services: Arc::clone(&backend_client) as _,
            orders: backend_client,
            commands,
            metrics,
            audit,
        };
        let context = Arc::new(AppContext::new(conf, incarnation, dependencies));
        Self::spawn_threads(&context, command_receiver)?;
        let caller_server = Self::bind_caller_server(&context)?;
        log::info!(
            "router {} in domain {} listens for callers on {}",
            context.conf.host,
            context.conf.domain,
            caller_server.address()
        );
        Ok(Self {
            context,
            caller_server,
        })
    }

    /// Performs a planned stop: reports not ready, hands over the dispatcher roles, waits for
    /// `drain_notice`, stops accepting callers, waits until the last request has ended and closes
    /// the audit log.
    pub fn drain(self) {
        log::info!("planned stop begins");
        self.context.draining.store(true, Ordering::Relaxed);
        self.context.send_command(Command::Drain);
        thread::sleep(self.context.conf.drain_notice);
        self.caller_server.close();
        while self.context.in_flight.load(Ordering::Relaxed) > 0 {
            thread::sleep(DRAIN_CHECK_INTERVAL);
        }
        self.context.audit.close(AUDIT_CLOSE_TIMEOUT);
        log::info!("planned stop is complete");
    }

    fn spawn_threads(
        context: &Arc<AppContext>,
        command_receiver: flume::Receiver<Command>,
    ) -> Result<(), RouterError> {
        let conf = &context.conf;
        let socket = PeerSocket::bind(conf.peer_address, Codec::new(conf.fleet_key))
            .map_err(|error| bind_error("peer UDP", conf.peer_address, &error))?;
        socket
            .spawn_receiver(
                id_of(&conf.host),
                context.commands.clone(),
                context.metrics.clone(),
            )
            .map_err(|error| thread_error(&error))?;
        spawn_copy_server(Arc::clone(context))
            .map_err(|error| bind_error("peer TCP", conf.peer_address, &error))?;
        let (watcher, wake_receiver) = ConfigWatcher::channel();
        Control::spawn(Arc::clone(context), command_receiver, socket, watcher)
            .map_err(|error| thread_error(&error))?;
        ConfigWatcher::spawn(Arc::clone(context), wake_receiver)
            .map_err(|error| thread_error(&error))?;
        spawn_orders(Arc::clone(context)).map_err(|error| thread_error(&error))?;
        spawn_admin(Arc::clone(context))
            .map(drop)
            .map_err(|error| bind_error("admin", conf.admin_address, &error))
    }

    fn bind_caller_server(context: &Arc<AppContext>) -> Result<Server, RouterError> {
        let conf = &context.conf;
        let limits = Limits {
            head_timeout: conf.head_timeout,
            body_timeout: conf.body_timeout,
            max_body_bytes: conf.body_bytes,
            max_connections: conf.connections,
            ..Limits::default()
        };
        Server::bind(
            conf.caller_address,
            limits,
            CallerHandler::new(Arc::clone(context)),
        )
        .map_err(|error| bind_error("caller", conf.caller_address, &error))
    }
}

fn bind_error(
    role: &'static str,
    address: SocketAddr,
    error: &dyn std::fmt::Display,
) -> RouterError {
    RouterError::Bind(role, address, error.to_string())
}

fn thread_error(error: &std::io::Error) -> RouterError {
    RouterError::Thread(error.to_string())
}
