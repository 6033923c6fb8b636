//! State shared by all tasks of the traffic thread.

use {
    crate::{
        callers::UnreadConnection,
        evidence::Evidence,
        forward::KeptMemory,
        gossip::{GossipSocket, Outbox, PeerDirectory},
        header_codec::HeaderCodec,
        idle_time::IdleTime,
        metrics::Metrics,
        owners::Owners,
        pool::ConnectionPool,
        retries::Retries,
        settings::{Bounds, Settings},
        shared::Shared,
        shared_tables::TABLES,
        streams::Streams,
    },
    baobab_overload::{Arrivals, Overload, Shedding, Unread},
    baobab_place::{PartDirectory, Peers, Placer, Registry, ServerKey, Shares},
    baobab_routing::{ActiveConfiguration, Configuration, ConfirmationState},
    baobab_watch::suspension_clock,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Minimum time without reports after which another router counts as gone. A few reports may be
/// lost.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Size of a fleet from which an overloaded router sheds a part of the streams. In a smaller one, the others are
/// hardly less busy.
const MIN_FLEET_TO_SHED: usize = 21;

/// Connections run short once more than the maximum divided by this are open.
const LOW_CONNECTIONS_DIVISOR: usize = 3;

/// Lifecycle phase of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    Serving,
    /// Accepts requests while the balancer redirects callers, and closes each connection.
    Leaving,
    /// Finishes the requests in flight.
    Draining,
}

/// State of a router, owned by its single traffic thread.
pub struct Core {
    /// Settings the thread was started with.
    pub settings: Settings,
    /// State shared with the control thread.
    pub shared: Shared,
    /// Reads and writes the deployment's headers.
    pub header_codec: Box<dyn HeaderCodec>,
    /// The active configuration, and its confirmation.
    pub active_configuration: RefCell<ActiveConfiguration>,
    /// Chooses a server for each request.
    pub placer: RefCell<Placer>,
    /// Token shares of the workspaces.
    pub shares: RefCell<Shares>,
    /// The other routers.
    pub peer_directory: RefCell<PeerDirectory>,
    /// Socket for gossip.
    pub socket: GossipSocket,
    /// Questions and reports to the owners of servers.
    pub owners: RefCell<Owners>,
    /// Where the prompt parts that this router owns are cached.
    pub part_directory: RefCell<PartDirectory>,
    /// Prompt parts that crash engines.
    pub evidence: RefCell<Evidence>,
    /// Which version of a service began each stream.
    pub streams: RefCell<Streams>,
    /// Wakes the gossip task before its interval ends.
    pub gossip_now: Notify,
    /// Wakes the task that reports changed loads.
    pub loads_changed: Notify,
    /// Recent changes of the store's tables, for gossip.
    pub outboxes: RefCell<[Outbox; TABLES]>,
    /// Connections to backend servers.
    pub pool: ConnectionPool,
    /// Served at the metrics address.
    pub metrics: Metrics,
    /// Wakes a request that waits for capacity.
    pub capacity_freed: Notify,
    /// Limits set by the deployment; may change at run time.
    pub bounds: RefCell<Bounds>,
    /// Lifecycle phase.
    pub phase: Cell<Phase>,
    /// When the process will be killed, once a planned stop has begun.
    pub kill_at: Cell<Option<Instant>>,
    /// Detects processor overload from timer delays.
    pub overload: RefCell<Overload>,
    /// Whose requests are refused during an overload.
    pub shedding: RefCell<Shedding>,
    /// Requests by workspace, for the logs of an overload.
    pub arrivals: RefCell<Arrivals>,
    /// When this router, being overloaded, last asked for the loads of some servers.
    pub sampled_at: Cell<Duration>,
    /// How long the traffic thread has waited for work.
    pub idle_time: IdleTime,
    /// Connections of callers that wait to be served.
    pub unread: RefCell<Unread<UnreadConnection>>,
    /// Wakes the task that serves them.
    pub unread_added: Notify,
    /// Scratch memory for requests that are not read.
    pub turned_away_buffer: RefCell<Vec<u8>>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Bytes of request bodies in memory.
    pub body_bytes: Cell<u64>,
    /// Memory for what is kept of responses.
    pub kept: KeptMemory,
    /// Retry budgets of this router, and what it keeps of those of others.
    pub retries: Retries,
    random: RefCell<SmallRng>,
    started: Instant,
}

impl Core {
    /// Creates the state of a router without a configuration, servers or peers.
    #[must_use]
    pub fn new(
        settings: Settings,
        shared: Shared,
        header_codec: Box<dyn HeaderCodec>,
        socket: GossipSocket,
        idle_time: IdleTime,
    ) -> Self {
        let bounds = settings.bounds.clone();
        let placer = Placer::new(
            Registry::new(bounds.registry_settle),
            Peers::new(PEER_TIMEOUT),
            settings.tuning.clone(),
        );
        let metrics = Metrics::new();
        Self {
            active_configuration: RefCell::new(ActiveConfiguration::new(bounds.key_lease)),
            placer: RefCell::new(placer),
            shares: RefCell::new(Shares::new(Duration::ZERO)),
            peer_directory: RefCell::new(PeerDirectory::new(&settings.host)),
            socket,
            owners: RefCell::default(),
            part_directory: RefCell::default(),
            evidence: RefCell::default(),
            streams: RefCell::default(),
            gossip_now: Notify::new(),
            loads_changed: Notify::new(),
            outboxes: RefCell::default(),
            pool: ConnectionPool::new(settings.memory_bytes, settings.max_connections),
            capacity_freed: Notify::new(),
            bounds: RefCell::new(bounds),
            phase: Cell::new(Phase::Serving),
            kill_at: Cell::new(None),
            overload: RefCell::new(Overload::default()),
            shedding: RefCell::default(),
            arrivals: RefCell::default(),
            sampled_at: Cell::default(),
            idle_time,
            unread: RefCell::default(),
            unread_added: Notify::new(),
            turned_away_buffer: RefCell::default(),
            connections: Cell::new(0),
            in_flight: Cell::new(0),
            body_bytes: Cell::new(0),
            kept: KeptMemory::new(settings.memory_bytes, metrics.kept_bytes.clone()),
            metrics,
            retries: Retries::new(&settings.bounds),
            random: RefCell::new(SmallRng::from_os_rng()),
            started: Instant::now(),
            settings,
            shared,
            header_codec,
        }
    }

    /// Returns the time since the router started, on the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the active configuration, if any, and its confirmation state.
    #[must_use]
    pub fn configuration(&self) -> (Option<Arc<Configuration>>, ConfirmationState) {
        let active_configuration = self.active_configuration.borrow();
        (
            active_configuration.current().cloned(),
            active_configuration.confirmation_state(suspension_clock()),
        )
    }

    /// Whether the router can serve: it is neither stopping nor overloaded, and has a configuration,
    /// the list of servers and the records of streams.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && !self.turns_connections_away()
            && self.active_configuration.borrow().current().is_some()
            && self.placer.borrow().registry.has_list()
            && self.streams.borrow().is_settled
    }

    /// Whether new connections should go to other routers: this one's processor is overloaded, or it sheds
    /// streams to the others of a large fleet.
    #[must_use]
    pub fn turns_connections_away(&self) -> bool {
        let overload = self.overload.borrow();
        overload.is_overloaded()
            || (self.sheds_to_others() && overload.sheds_connections(self.now()))
    }

    /// Whether the fleet is so large that other routers probably have time for what this one has not.
    #[must_use]
    pub fn sheds_to_others(&self) -> bool {
        self.peer_directory.borrow().fleet_size() >= MIN_FLEET_TO_SHED
    }

    /// Returns the time until the process is killed, or none before a planned stop.
    #[must_use]
    pub fn grace_left(&self) -> Option<Duration> {
        self.kill_at
            .get()
            .map(|at| at.saturating_duration_since(Instant::now()))
    }

    /// Whether callers' connections run short, so that idle ones are closed early.
    #[must_use]
    pub fn is_low_on_connections(&self) -> bool {
        self.connections.get() > self.settings.max_connections / LOW_CONNECTIONS_DIVISOR
    }

    /// Records that a server has sent nothing for so long that a request looks for another one.
    pub fn on_silence(&self, service: &str, server: ServerKey) {
        // Idle connections that have gone silent for good would each cost a request this time.
        self.pool.shorten(server);
        let is_ejected = self.placer.borrow_mut().on_silence(server, self.now());
        if is_ejected {
            self.metrics.ejections.with_label_values(&[service]).inc();
            log::info!(server; "silent server is ejected");
        }
    }

    /// Returns a random number.
    #[must_use]
    pub fn random_number(&self) -> u64 {
        use rand::Rng;
        self.random.borrow_mut().random()
    }

    /// Returns a random number in `0.0..1.0`.
    #[must_use]
    pub fn random_fraction(&self) -> f64 {
        use rand::Rng;
        self.random.borrow_mut().random()
    }
}
