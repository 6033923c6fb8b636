//! The two example sites, at their present sizes.

/// A workspace of a site.
#[derive(Debug, Clone, Copy)]
pub struct SiteWorkspace {
    /// Name of the workspace.
    pub name: &'static str,
    /// Share relative to the other workspaces.
    pub weight: u32,
    /// Indices of the routers that its callers use; empty means all.
    pub routers: &'static [usize],
}

impl SiteWorkspace {
    /// Returns the caller key for trials; it is not a secret.
    #[must_use]
    pub fn key(&self) -> String {
        format!("try-key-{}", self.name)
    }
}

/// A site and its fleet.
#[derive(Debug, Clone, Copy)]
pub struct Site {
    /// Name of the site.
    pub name: &'static str,
    /// Names of the failure domains.
    pub domains: [&'static str; 3],
    /// Name of the model that all engines serve.
    pub model: &'static str,
    /// Plain service with non-idempotent routes.
    pub service: &'static str,
    /// Path prefixes of that service whose requests are not idempotent.
    pub non_idempotent_paths: &'static [&'static str],
    /// Path of that service whose requests may be retried.
    pub lookup_path: &'static str,
    /// Urgency classes, the most urgent first.
    pub classes: [&'static str; 3],
    /// Workspaces, the large ones first.
    pub workspaces: &'static [SiteWorkspace],
    /// Number of large workspaces.
    pub large_workspaces: usize,
    /// One-way delay between failure domains, in milliseconds.
    pub delay_ms: u64,
    /// First port of the site's processes on loopback.
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
    non_idempotent_paths: &["/tickets", "/orders"],
    lookup_path: "/parts",
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
    large_workspaces: 4,
    delay_ms: 3,
    base_port: 21000,
};

const CASCADIA: Site = Site {
    name: "cascadia",
    domains: ["astoria", "newport", "coos-bay"],
    model: "catalogue",
    service: "ledger",
    non_idempotent_paths: &["/checkouts", "/returns"],
    lookup_path: "/sheets",
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
    large_workspaces: 4,
    delay_ms: 6,
    base_port: 23000,
};

/// Returns the site with this name.
#[must_use]
pub fn site_by_name(name: &str) -> Option<Site> {
    [CARONI, CASCADIA]
        .into_iter()
        .find(|site| site.name == name)
}
