//! Cold servers and evacuated failure domains: commands, logs and metrics.

use {
    crate::core::Core,
    baobab_availability::{ColdChange, ColdService, DomainChange, ListingKind},
    baobab_place::{Server, ServerKey},
    baobab_routing::Configuration,
    baobab_unit::to_u64,
    std::collections::BTreeSet,
};

/// Applies the cold phases of a configuration's services.
pub fn on_configuration(core: &Core, configuration: &Configuration) {
    let cold_service = |service: &baobab_routing::Service| ColdService {
        cold_start: service.cold_start,
        per_s: service.cold_per_s,
    };
    let services = configuration.services.values();
    let services = services.map(|service| (service.name.clone(), cold_service(service)));
    core.placer.borrow_mut().availability.set_services(services);
    update(core);
}

/// Applies the bound on requests to cold servers.
pub fn on_bounds(core: &Core) {
    let bounds = core.bounds.borrow().cold;
    core.placer.borrow_mut().availability.set_bounds(bounds);
    update(core);
}

/// Applies the announcements of servers.
pub fn on_announced(core: &Core, servers: &[Server], kind: ListingKind) {
    let now = core.now();
    let mut placer = core.placer.borrow_mut();
    for server in servers {
        placer.on_run_announced(server, kind, now);
    }
}

/// Applies the operators' list of evacuated failure domains.
pub fn on_evacuated(core: &Core, domains: BTreeSet<String>) {
    let changes = core.placer.borrow_mut().set_evacuated(domains, core.now());
    for change in &changes {
        if change.is_evacuated {
            close_idle(core, &change.domain);
        }
        log_domain_change(core, change);
    }
    update(core);
}

/// Brings the limits of cold servers up to date, logs the changes and sets the metrics.
pub fn update(core: &Core) {
    let now = core.now();
    let mut placer = core.placer.borrow_mut();
    placer.update_cold_limits(now);
    for change in placer.availability.take_changes(now) {
        let id = placer.registry.get(change.server).map(|server| &*server.id);
        let limit_per_s = placer.limits.limit_per_s(change.server);
        log_cold_change(change, id.unwrap_or_default(), limit_per_s);
    }
    let availability = &placer.availability;
    let gauge = |count: usize| i64::try_from(to_u64(count)).unwrap_or(i64::MAX);
    let metrics = &core.metrics;
    metrics
        .cold_servers
        .set(gauge(availability.cold_servers(now)));
    metrics
        .evacuated_domains
        .set(gauge(availability.evacuated_domains()));
}

/// Connections to servers that get no requests use up what those accept.
fn close_idle(core: &Core, domain: &str) {
    for key in servers_of(core, domain) {
        core.pool.close_idle(key);
    }
}

fn servers_of(core: &Core, domain: &str) -> Vec<ServerKey> {
    let placer = core.placer.borrow();
    let servers = placer.registry.all();
    let in_domain = servers.filter(|server| server.domain == domain);
    in_domain.map(|server| server.key).collect()
}

fn log_domain_change(core: &Core, change: &DomainChange) {
    let domain = change.domain.as_str();
    let servers = servers_of(core, domain).len();
    if change.is_evacuated {
        log::info!(domain, servers, evidence = "operators' row"; "failure domain is evacuated");
    } else {
        log::info!(domain, servers, evidence = "operators' row"; "failure domain is back in service");
    }
}

fn log_cold_change(change: ColdChange, server: &str, limit_per_s: Option<f64>) {
    match change.evidence {
        Some(evidence) => {
            log::info!(server, evidence:?, limit_per_s:?; "server is cold");
        }
        None => log::info!(server, limit_per_s:?; "server is warm"),
    }
}
