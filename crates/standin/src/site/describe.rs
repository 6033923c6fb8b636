//! The two users' sites, at the sizes of today.

/// A workspace of a site.
#[derive(Debug, Clone, Copy)]
pub struct SiteWorkspace {
    /// Name.
    pub name: &'static str,
    /// Weight.
    pub weight: u32,
    /// Routers that its callers enter at; all where empty.
    pub routers: &'static [usize],
}

impl SiteWorkspace {
    /// Returns the caller key that stands in for a secret.
    #[must_use]
    pub fn key(&self) -> String {
        format!("try-key-{}", self.name)
    }
}

/// A site.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: [&'static str; 3],
    /// Model.
    pub model: &'static str,
    /// Service with routes that must not be repeated.
    pub service: &'static str,
    /// Paths of that service whose requests must not be repeated.
    pub non_idempotent: &'static [&'static str],
    /// Path of that service whose requests may be repeated.
    pub lookup: &'static str,
    /// Classes, the most urgent first.
    pub classes: [&'static str; 3],
    /// Workspaces, the large ones first.
    pub workspaces: &'static [SiteWorkspace],
    /// Workspaces that are large.
    pub large: usize,
    /// Delay between domains, one way.
    pub delay_ms: u64,
    /// First port.
    pub base_port: u16,
}

const fn workspace(name: &'static str, weight: u32, routers: &'static [usize]) -> SiteWorkspace {
    SiteWorkspace {
        name,
        weight,
        routers,
    }
}

const CARONI: Site = Site {
    name: "caroni",
    domains: ["chaguanas", "couva", "san-fernando"],
    model: "assistant",
    service: "job-desk",
    non_idempotent: &["/tickets", "/orders"],
    lookup: "/parts",
    classes: ["question", "tag", "history"],
    workspaces: &[
        workspace("overhaul-north", 4, &[0, 1]),
        workspace("overhaul-south", 4, &[4, 5]),
        workspace("overhaul-central", 2, &[2]),
        workspace("depot-claxton", 1, &[0, 5]),
        workspace("station-chaguanas", 1, &[0]),
        workspace("station-couva", 1, &[2, 3]),
        workspace("station-freeport", 1, &[2]),
        workspace("station-gasparillo", 1, &[4]),
        workspace("station-la-romaine", 1, &[5]),
        workspace("station-marabella", 1, &[4, 5]),
        workspace("station-penal", 1, &[]),
        workspace("station-point-fortin", 1, &[5]),
        workspace("station-preysal", 1, &[3]),
        workspace("station-princes-town", 1, &[4]),
        workspace("station-siparia", 1, &[]),
        workspace("call-centre", 2, &[]),
    ],
    large: 4,
    delay_ms: 3,
    base_port: 21000,
};

const CASCADIA: Site = Site {
    name: "cascadia",
    domains: ["astoria", "newport", "coos-bay"],
    model: "catalogue",
    service: "ledger",
    non_idempotent: &["/checkouts", "/returns"],
    lookup: "/sheets",
    classes: ["lookup", "note", "reconciliation"],
    workspaces: &[
        workspace("archive-columbia", 6, &[0, 1]),
        workspace("archive-rogue", 3, &[4]),
        workspace("survey-coast-range", 3, &[2, 3]),
        workspace("survey-siskiyou", 1, &[5]),
        workspace("library-astoria", 1, &[0]),
        workspace("library-bandon", 1, &[4]),
        workspace("library-depoe-bay", 1, &[2]),
        workspace("library-florence", 1, &[3]),
        workspace("library-gold-beach", 1, &[5]),
        workspace("library-lincoln-city", 1, &[2, 3]),
        workspace("library-reedsport", 1, &[4, 5]),
        workspace("library-seaside", 1, &[1]),
        workspace("library-tillamook", 1, &[]),
        workspace("library-waldport", 1, &[3]),
        workspace("library-yachats", 1, &[]),
        workspace("office-salem", 2, &[]),
    ],
    large: 4,
    delay_ms: 6,
    base_port: 23000,
};

/// Returns a site by name.
#[must_use]
pub fn site(name: &str) -> Option<Site> {
    [CARONI, CASCADIA]
        .into_iter()
        .find(|site| site.name == name)
}
