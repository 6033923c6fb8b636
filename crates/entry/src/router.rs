//! A running router: puts the threads together, and stops them in order.

use {
    crate::{
        admin::spawn_admin,
        callers::Callers,
        config::{Watcher, spawn_copies},
        context::{AppContext, Parts},
        control::{Command, Control, PeerSocket},
        journal::{AuditLog, now_ms},
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

/// Time between two looks at whether the last request has ended.
const DRAIN_CHECK: Duration = Duration::from_millis(50);
/// Time for the last audit records of a planned stop.
const AUDIT_PATIENCE: Duration = Duration::from_secs(5);

quick_error! {
    /// Why a router could not start.
    #[derive(Debug)]
    pub enum RouterError {
        /// An address can't be used.
        Bind(what: &'static str, address: SocketAddr, reason: String) {
            display("the {what} address {address} can't be used: {reason}")
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
    callers: Server,
}

impl Router {
    /// Starts a router.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be bound or a thread can't be started.
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
        let (commands, received) = flume::unbounded();
        let backend = Arc::new(HttpBackendClient::default());
        let parts = Parts {
            platform,
            engines: Arc::clone(&backend) as _,
            services: Arc::clone(&backend) as _,
            orders: backend,
            commands,
            metrics,
            audit,
        };
        let context = Arc::new(AppContext::new(conf, incarnation, parts));
        Self::spawn_threads(&context, received)?;
        let callers = Self::bind_callers(&context)?;
        log::info!(
            "router {} of {} serves callers on {}",
            context.conf.host,
            context.conf.domain,
            callers.address()
        );
        Ok(Self { context, callers })
    }

    /// Stops after a planned stop's steps: not ready, roles handed over, no new callers, and the
    /// last request answered.
    pub fn drain(self) {
        log::info!("a planned stop has begun");
        self.context.draining.store(true, Ordering::Relaxed);
        self.context.command(Command::Drain);
        thread::sleep(self.context.conf.drain_notice);
        self.callers.close();
        while self.context.in_flight.load(Ordering::Relaxed) > 0 {
            thread::sleep(DRAIN_CHECK);
        }
        self.context.audit.close(AUDIT_PATIENCE);
        log::info!("the planned stop is complete");
    }

    fn spawn_threads(
        context: &Arc<AppContext>,
        received: flume::Receiver<Command>,
    ) -> Result<(), RouterError> {
        let conf = &context.conf;
        let socket = PeerSocket::bind(conf.peer_address, Codec::new(conf.fleet_key))
            .map_err(|error| bind_error("peer", conf.peer_address, &error))?;
        socket
            .spawn_receiver(
                id_of(&conf.host),
                context.commands.clone(),
                context.metrics.clone(),
            )
            .map_err(|error| thread_error(&error))?;
        spawn_copies(Arc::clone(context))
            .map_err(|error| bind_error("peer", conf.peer_address, &error))?;
        let (watcher, woken) = Watcher::channel();
        Control::spawn(Arc::clone(context), received, socket, watcher)
            .map_err(|error| thread_error(&error))?;
        Watcher::spawn(Arc::clone(context), woken).map_err(|error| thread_error(&error))?;
        spawn_orders(Arc::clone(context)).map_err(|error| thread_error(&error))?;
        spawn_admin(Arc::clone(context))
            .map_err(|error| bind_error("admin", conf.admin_address, &error))
    }

    fn bind_callers(context: &Arc<AppContext>) -> Result<Server, RouterError> {
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
            Callers::new(Arc::clone(context)),
        )
        .map_err(|error| bind_error("caller", conf.caller_address, &error))
    }
}

fn bind_error(
    what: &'static str,
    address: SocketAddr,
    error: &dyn std::fmt::Display,
) -> RouterError {
    RouterError::Bind(what, address, error.to_string())
}

fn thread_error(error: &std::io::Error) -> RouterError {
    RouterError::Thread(error.to_string())
}
