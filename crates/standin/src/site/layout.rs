//! Loopback addresses of every process of a site.

use {super::Site, std::net::SocketAddr};

/// Number of routers of a site at its present size.
pub const ROUTERS: usize = 6;
/// Number of engines of a site.
pub const ENGINES: usize = 18;
/// Number of service replicas of a site.
pub const SERVICES: usize = 3;
const DOMAINS: usize = 3;

/// Settings of a site that can vary between runs.
#[derive(Debug, Clone)]
pub struct LayoutOptions {
    /// Dispatch mode: `grants` or `shares`.
    pub dispatch: String,
    /// Slots of each engine.
    pub slots: u32,
    /// Datagrams lost between failure domains, in percent.
    pub loss_percent: u32,
    /// Slots of each pool reserved for urgent requests.
    pub urgent_reserve_slots: u32,
}

impl Default for LayoutOptions {
    fn default() -> Self {
        Self {
            dispatch: "grants".into(),
            slots: 12,
            loss_percent: 2,
            urgent_reserve_slots: 1,
        }
    }
}

/// Names and addresses of a site's processes.
#[derive(Debug, Clone, Copy)]
pub struct Layout {
    /// Site to lay out.
    pub site: Site,
    /// Number of routers.
    pub routers: usize,
}

impl Layout {
    /// Creates the layout of a site at its present size.
    #[must_use]
    pub fn new(site: Site) -> Self {
        Self::with_routers(site, ROUTERS)
    }

    /// Creates a layout with any number of routers. Unless there are 6, they connect directly: the
    /// ports don't suffice for a link between each pair.
    #[must_use]
    pub fn with_routers(site: Site, routers: usize) -> Self {
        Self { site, routers }
    }

    fn has_direct_links(&self) -> bool {
        self.routers != ROUTERS
    }

    /// Returns the failure domain of a router.
    #[must_use]
    pub fn router_domain(&self, router: usize) -> &'static str {
        self.site.domains[router * DOMAINS / self.routers]
    }

    /// Returns the failure domain of an engine.
    #[must_use]
    pub fn engine_domain(&self, engine: usize) -> &'static str {
        self.site.domains[engine / (ENGINES / DOMAINS)]
    }

    /// Returns the host name of a router.
    #[must_use]
    pub fn router_name(&self, router: usize) -> String {
        format!("{}-r{}", self.router_domain(router), router + 1)
    }

    /// Returns the name of an engine.
    #[must_use]
    pub fn engine_name(&self, engine: usize) -> String {
        format!("{}-e{:02}", self.engine_domain(engine), engine + 1)
    }

    /// Returns the platform's address.
    #[must_use]
    pub fn platform_address(&self) -> SocketAddr {
        self.loopback(0)
    }

    /// Returns the address of the link's HTTP interface.
    #[must_use]
    pub fn link_admin_address(&self) -> SocketAddr {
        self.loopback(1)
    }

    /// Returns a router's address for callers.
    #[must_use]
    pub fn caller_address(&self, router: usize) -> SocketAddr {
        self.loopback(1000 + router)
    }

    /// Returns a router's address for operators.
    #[must_use]
    pub fn admin_address(&self, router: usize) -> SocketAddr {
        self.loopback(1100 + router)
    }

    /// Returns a router's address for peers.
    #[must_use]
    pub fn peer_address(&self, router: usize) -> SocketAddr {
        self.loopback(1200 + router)
    }

    /// Returns the address of an engine.
    #[must_use]
    pub fn engine_address(&self, engine: usize) -> SocketAddr {
        self.loopback(100 + engine)
    }

    /// Returns the address of a service replica.
    #[must_use]
    pub fn service_address(&self, service: usize) -> SocketAddr {
        self.loopback(140 + service)
    }

    /// Returns the address at which one router reaches another.
    #[must_use]
    pub fn peer_address_from(&self, from: usize, to: usize) -> SocketAddr {
        if self.has_direct_links() || self.router_domain(from) == self.router_domain(to) {
            self.peer_address(to)
        } else {
            self.loopback(200 + from * 10 + to)
        }
    }

    /// Returns the address at which a failure domain reaches an engine.
    #[must_use]
    pub fn engine_address_from(&self, domain: usize, engine: usize) -> SocketAddr {
        if self.has_direct_links() || self.site.domains[domain] == self.engine_domain(engine) {
            self.engine_address(engine)
        } else {
            self.loopback(300 + domain * 40 + engine)
        }
    }

    fn loopback(&self, offset: usize) -> SocketAddr {
        let offset = u16::try_from(offset).unwrap_or_default();
        SocketAddr::from(([127, 0, 0, 1], self.site.base_port + offset))
    }
}
