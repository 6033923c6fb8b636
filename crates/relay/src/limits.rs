//! Limits that servers have named: exchange with the other routers, and permits to send requests.

use {
    crate::{
        core::Core,
        forward::Job,
        gossip::{GossipMessage, Owned, PermitAnswer, PermitQuery},
        loads,
    },
    baobab_availability::Evidence,
    baobab_limit::{LimitChange, LimitPerS, Notice, Priority},
    baobab_place::{Server, ServerKey},
    baobab_unit::{HostId, millis},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Time for which a server is left out after its owner has not answered, or was not found.
const UNANSWERED_WAIT: Duration = Duration::from_millis(100);
/// Maximum number of notices per datagram, so that no link fragments it.
const MAX_NOTICES: usize = 64;

/// Records what a server has said of its limit in a response.
pub fn on_response(core: &Core, server: ServerKey, limit_per_s: Option<LimitPerS>) {
    let change = core
        .placer
        .borrow_mut()
        .limits
        .on_response(server, limit_per_s);
    if let Some(change) = change {
        log_change(&change, "response");
        // Other routers are told at once.
        report(core, loads::asks_owners(core), false);
    }
}

/// Applies what another router knows of the servers' limits.
pub fn on_notices(core: &Core, host: HostId, notices: &[(ServerKey, Notice)]) {
    for &(server, notice) in notices {
        on_notice(core, host, server, notice);
    }
}

fn on_notice(core: &Core, host: HostId, server: ServerKey, notice: Notice) {
    let mut placer = core.placer.borrow_mut();
    // Servers that this router does not know yet are told again.
    if placer.registry.get(server).is_none() {
        return;
    }
    if let Some(change) = placer.limits.on_notice(server, notice) {
        log_change(&change, &format!("router {host}"));
    }
}

/// Logs a change of a server's limit.
pub fn log_change(change: &LimitChange, source: &str) {
    log::info!(
        server = change.server,
        from_per_s:? = change.from_per_s,
        to_per_s:? = change.to_per_s,
        version = change.version,
        source;
        "limit of a server has changed"
    );
}

/// Tells what is known of the servers' limits: all of it, or what has changed. In a large fleet, the
/// owners of the servers are told, otherwise all routers.
pub fn report(core: &Core, asks_owners: bool, is_full: bool) {
    let notices = core.placer.borrow_mut().limits.take_notices(is_full);
    if notices.is_empty() {
        return;
    }
    let now = core.now();
    if !asks_owners {
        let destinations = core.peer_directory.borrow_mut().destinations(now);
        send(core, &notices, &destinations);
        return;
    }
    let peer_directory = core.peer_directory.borrow();
    let mut by_owner: BTreeMap<HostId, Vec<(ServerKey, Notice)>> = BTreeMap::new();
    for (server, notice) in notices {
        if let Some(host) = peer_directory.owner(Owned::Server(server), now) {
            by_owner.entry(host).or_default().push((server, notice));
        }
    }
    for (host, notices) in by_owner {
        if let Some(address) = peer_directory.address(host) {
            send(core, &notices, &[address]);
        }
    }
}

fn send(core: &Core, notices: &[(ServerKey, Notice)], destinations: &[SocketAddr]) {
    for limits in notices.chunks(MAX_NOTICES) {
        let message = GossipMessage {
            limits: limits.to_vec(),
            ..GossipMessage::default()
        };
        core.socket.send(&message, destinations, &core.metrics);
    }
}

/// What has come of a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// The server has no limit.
    NotNeeded,
    /// The request may be sent.
    Granted,
    /// The server is left out until there may be a permit.
    Refused,
}

/// Takes the permit to send a request to a server, if it has a limit.
pub async fn take_permit(core: &Core, job: &Job, server: &Server, priority: Priority) -> Permit {
    let (notice, limit_per_s, is_cold) = {
        let placer = core.placer.borrow();
        let limits = &placer.limits;
        let Some(limit_per_s) = limits.limit_per_s(server.key) else {
            return Permit::NotNeeded;
        };
        let evidence = placer.availability.evidence(server.key, core.now());
        // What another router has only been told is not passed on, or it would never end.
        let is_cold = evidence.is_some_and(|evidence| evidence != Evidence::PermitQuery);
        (limits.notice(server.key), limit_per_s, is_cold)
    };
    let owner = {
        let now = core.now();
        let mut placer = core.placer.borrow_mut();
        placer.limits.on_asked(server.key, priority, now);
        let peer_directory = core.peer_directory.borrow();
        peer_directory.owner(Owned::Server(server.key), now)
    };
    let answer = match owner {
        None => Some(grant(core, server.key, priority)),
        Some(host) => {
            let query = PermitQuery {
                server: server.key,
                notice,
                priority,
                is_cold,
            };
            loads::ask_permit(core, host, query).await
        }
    };
    let (outcome, wait) = match answer {
        Some(PermitAnswer::Granted) => {
            core.metrics.permits.with_label_values(&["granted"]).inc();
            let mut placer = core.placer.borrow_mut();
            placer.limits.on_granted(server.key, priority);
            return Permit::Granted;
        }
        Some(PermitAnswer::Refused(wait)) => ("refused", wait),
        None => ("unanswered", UNANSWERED_WAIT),
    };
    core.metrics.permits.with_label_values(&[outcome]).inc();
    let mut placer = core.placer.borrow_mut();
    if placer
        .limits
        .on_refused(server.key, priority, wait, core.now())
    {
        log::info!(
            id = job.id.as_str(),
            server = server.id.as_str(),
            limit_per_s,
            version = notice.version,
            is_cold,
            priority:?,
            owner:?,
            outcome,
            wait_ms = millis(wait);
            "limit of a server leaves no request"
        );
    }
    Permit::Refused
}

/// Answers another router's question for a permit.
pub fn on_permit_query(core: &Core, host: HostId, query: &PermitQuery) -> PermitAnswer {
    on_notice(core, host, query.server, query.notice);
    if query.is_cold {
        let mut placer = core.placer.borrow_mut();
        placer.on_told_cold(query.server, core.now());
    }
    let is_known = core.placer.borrow().registry.get(query.server).is_some();
    let is_owner = {
        let peer_directory = core.peer_directory.borrow();
        let owner = peer_directory.owner(Owned::Server(query.server), core.now());
        owner.is_none()
    };
    if is_known && is_owner {
        grant(core, query.server, query.priority)
    } else {
        // Two routers that both gave permits out would exceed the limit.
        PermitAnswer::Refused(UNANSWERED_WAIT)
    }
}

/// Gives out a permit for a server that this router owns, if its limit leaves one.
fn grant(core: &Core, server: ServerKey, priority: Priority) -> PermitAnswer {
    let now = core.now();
    let fleet_share = core.peer_directory.borrow().reachable_share(now);
    let mut placer = core.placer.borrow_mut();
    match placer
        .limits
        .take_permit(server, priority, fleet_share, now)
    {
        Ok(()) => PermitAnswer::Granted,
        Err(wait) => PermitAnswer::Refused(wait),
    }
}
