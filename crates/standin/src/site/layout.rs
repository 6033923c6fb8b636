//! Addresses on loopback for every process of a site.

use {super::Site, std::net::SocketAddr};

/// Routers of a site at the size of today.
pub const ROUTERS: usize = 6;
/// Engines of a site.
pub const ENGINES: usize = 18;
/// Service replicas of a site.
pub const SERVICES: usize = 3;
const DOMAINS: usize = 3;

/// How a site is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// `grants` or `shares`.
    pub dispatch: String,
    /// Slots of each engine.
    pub slots: u32,
    /// Datagrams lost between domains, in percent.
    pub loss_percent: u32,
    /// Slots of each pool kept for urgent requests.
    pub urgent_reserve_slots: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            dispatch: "grants".into(),
            slots: 12,
            loss_percent: 2,
            urgent_reserve_slots: 1,
        }
    }
}

/// The addresses of a site.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// The site.
    pub site: Site,
    /// Number of its routers.
    pub routers: usize,
}

impl Layout {
    /// Lays a site out at the size of today.
    #[must_use]
    pub fn new(site: Site) -> Self {
        Self::with_routers(site, ROUTERS)
    }

    /// Lays a site out with another number of routers. These reach each other directly, for want
    /// of ports for a link between any two.
    #[must_use]
    pub fn with_routers(site: Site, routers: usize) -> Self {
        Self { site, routers }
    }

    fn is_direct(&self) -> bool {
        self.routers != ROUTERS
    }

    /// Domain of a router.
    #[must_use]
    pub fn router_domain(&self, router: usize) -> &'static str {
        self.site.domains[router * DOMAINS / self.routers]
    }

    /// Domain of an engine.
    #[must_use]
    pub fn engine_domain(&self, engine: usize) -> &'static str {
        self.site.domains[engine / (ENGINES / DOMAINS)]
    }

    /// Name of a router.
    #[must_use]
    pub fn router_name(&self, router: usize) -> String {
        format!("{}-r{}", self.router_domain(router), router + 1)
    }

    /// Name of an engine.
    #[must_use]
    pub fn engine_name(&self, engine: usize) -> String {
        format!("{}-e{:02}", self.engine_domain(engine), engine + 1)
    }

    /// Platform.
    #[must_use]
    pub fn platform(&self) -> SocketAddr {
        self.at(0)
    }

    /// Orders to the link.
    #[must_use]
    pub fn link_admin(&self) -> SocketAddr {
        self.at(1)
    }

    /// Callers' address of a router.
    #[must_use]
    pub fn callers(&self, router: usize) -> SocketAddr {
        self.at(1000 + router)
    }

    /// Operators' address of a router.
    #[must_use]
    pub fn admin(&self, router: usize) -> SocketAddr {
        self.at(1100 + router)
    }

    /// Peer address of a router.
    #[must_use]
    pub fn peer(&self, router: usize) -> SocketAddr {
        self.at(1200 + router)
    }

    /// Address of an engine.
    #[must_use]
    pub fn engine(&self, engine: usize) -> SocketAddr {
        self.at(100 + engine)
    }

    /// Address of a service replica.
    #[must_use]
    pub fn service(&self, service: usize) -> SocketAddr {
        self.at(140 + service)
    }

    /// Address at which one router reaches another.
    #[must_use]
    pub fn peer_from(&self, from: usize, to: usize) -> SocketAddr {
        if self.is_direct() || self.router_domain(from) == self.router_domain(to) {
            self.peer(to)
        } else {
            self.at(200 + from * 10 + to)
        }
    }

    /// Address at which a domain reaches an engine.
    #[must_use]
    pub fn engine_from(&self, domain: usize, engine: usize) -> SocketAddr {
        if self.is_direct() || self.site.domains[domain] == self.engine_domain(engine) {
            self.engine(engine)
        } else {
            self.at(300 + domain * 40 + engine)
        }
    }

    fn at(&self, offset: usize) -> SocketAddr {
        let offset = u16::try_from(offset).unwrap_or_default();
        SocketAddr::from(([127, 0, 0, 1], self.site.base_port + offset))
    }
}
