//! What all requests of a router share.

use {
    crate::{
        gossip::{Book, Outbox},
        header_codec::HeaderCodec,
        metrics::Metrics,
        overload::Overload,
        pool::Pool,
        settings::{Bounds, Settings},
        shared::Shared,
        shared_tables::TABLES,
    },
    baobab_place::{Peers, Placer, Registry, RetryBudget, Shares},
    baobab_routing::{ActiveConfiguration, Configuration, ConfirmationState},
    baobab_watch::suspension_clock,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        sync::Arc,
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// Silence after which another router counts as gone. A few of its reports may be lost.
const PEER_SILENCE: Duration = Duration::from_millis(1500);
/// Part of the fleet's allowance for repeats that is handed out, since routers come and go within
/// a window.
const ALLOWANCE_SHARE: f64 = 0.6;

/// Part of the connections from which on unused ones are not kept.
const CROWDED_DIVISOR: usize = 3;

/// Where a router is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It takes requests while the balancer turns elsewhere, and closes each connection.
    Leaving,
    /// It ends what it has begun.
    Draining,
}

/// State and decisions of a router, used by its one traffic thread.
pub struct Core {
    /// The settings.
    pub settings: Settings,
    /// What the control thread knows too.
    pub shared: Shared,
    /// The deployment's headers.
    pub header_codec: Box<dyn HeaderCodec>,
    /// The configuration in force.
    pub active_configuration: RefCell<ActiveConfiguration>,
    /// Choice of servers.
    pub placer: RefCell<Placer>,
    /// Shares of the workspaces.
    pub shares: RefCell<Shares>,
    /// The other routers.
    pub book: RefCell<Book>,
    /// What is told of the store's tables.
    pub outboxes: RefCell<[Outbox; TABLES]>,
    /// Connections to servers.
    pub pool: Pool,
    /// Metrics.
    pub metrics: Metrics,
    /// Wakes requests that wait for room.
    pub room: Notify,
    /// Bounds of the deployment.
    pub bounds: RefCell<Bounds>,
    /// Where the router is in its life.
    pub phase: Cell<Phase>,
    /// When the process will be killed, once a planned stop has begun.
    pub killed_at: Cell<Option<Instant>>,
    /// Whether the processor keeps up.
    pub overload: RefCell<Overload>,
    /// Connections of callers.
    pub connections: Cell<usize>,
    /// Requests that are under way.
    pub under_way: Cell<usize>,
    /// Bytes of request bodies that are held.
    pub held_bytes: Cell<u64>,
    budgets: RefCell<HashMap<String, RetryBudget>>,
    random: RefCell<SmallRng>,
    started: Instant,
}

impl Core {
    /// Makes the state of a router that knows nothing yet.
    #[must_use]
    pub fn new(settings: Settings, shared: Shared, header_codec: Box<dyn HeaderCodec>) -> Self {
        let bounds = settings.bounds.clone();
        let placer = Placer::new(
            Registry::new(bounds.registry_settle),
            Peers::new(PEER_SILENCE),
            settings.tuning.clone(),
        );
        Self {
            active_configuration: RefCell::new(ActiveConfiguration::new(bounds.key_lease)),
            placer: RefCell::new(placer),
            shares: RefCell::new(Shares::new(Duration::ZERO)),
            book: RefCell::new(Book::new(&settings.host)),
            outboxes: RefCell::default(),
            pool: Pool::default(),
            metrics: Metrics::new(),
            room: Notify::new(),
            bounds: RefCell::new(bounds),
            phase: Cell::new(Phase::Serving),
            killed_at: Cell::new(None),
            overload: RefCell::new(Overload::default()),
            connections: Cell::new(0),
            under_way: Cell::new(0),
            held_bytes: Cell::new(0),
            budgets: RefCell::new(HashMap::new()),
            random: RefCell::new(SmallRng::from_os_rng()),
            started: Instant::now(),
            settings,
            shared,
            header_codec,
        }
    }

    /// Returns the time since the router started, on the steady clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the configuration in force and how far it can be relied on.
    #[must_use]
    pub fn configuration(&self) -> (Option<Arc<Configuration>>, ConfirmationState) {
        let active_configuration = self.active_configuration.borrow();
        (
            active_configuration.current().cloned(),
            active_configuration.confirmation_state(suspension_clock()),
        )
    }

    /// Tells whether the router can serve: it knows its configuration and its servers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving
            && !self.overload.borrow().is_congested()
            && self.active_configuration.borrow().current().is_some()
            && self.placer.borrow().registry.has_list()
    }

    /// Returns the time until the process is killed, once a planned stop has begun.
    #[must_use]
    pub fn grace_left(&self) -> Option<Duration> {
        self.killed_at
            .get()
            .map(|at| at.saturating_duration_since(Instant::now()))
    }

    /// Tells whether callers' connections run short, so that unused ones have to go.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.connections.get() > self.settings.connections / CROWDED_DIVISOR
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&self, service: &str) {
        let window = self.bounds.borrow().retry_window;
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            budgets.insert(service.to_owned(), RetryBudget::new(window));
        }
        if let Some(budget) = budgets.get_mut(service) {
            budget.on_request(self.now());
        }
    }

    /// Takes one repeat from this router's part of the fleet's budget.
    pub fn try_retry(&self, service: &str, reason: &str) -> bool {
        let (ratio, allowance) = {
            let bounds = self.bounds.borrow();
            (bounds.retry_ratio, bounds.retry_allowance)
        };
        let fixed = allowance * ALLOWANCE_SHARE / self.book.borrow().fleet_size() as f64;
        let now = self.now();
        let is_allowed = self
            .budgets
            .borrow_mut()
            .get_mut(service)
            .is_some_and(|budget| budget.try_retry(ratio, fixed, now));
        if is_allowed {
            self.metrics.retries.with_label_values(&[reason]).inc();
        } else {
            self.metrics
                .retries_denied
                .with_label_values(&[service])
                .inc();
        }
        is_allowed
    }

    /// Draws a random fraction from zero up to one.
    #[must_use]
    pub fn fraction(&self) -> f64 {
        use rand::Rng;
        self.random.borrow_mut().random()
    }
}
