//! Periodic tasks: sends gossip, refills shares, expires old state. Also receives gossip.

use {
    crate::{
        availability,
        core::Core,
        gossip::{GossipConfirmation, GossipMessage, PartUpdate, TableUpdate},
        limits,
        load_report::LoadReport,
        loads,
        pace::{Pace, RATES_INTERVAL, SHARES_INTERVAL},
        rates, retries, streams,
    },
    baobab_place::{CACHE_LIFETIME, PeerReport, ReportedParts},
    baobab_routing::Confirmation,
    baobab_unit::{millis, to_u32},
    baobab_watch::suspension_clock,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Interval of full reports, which make up for lost ones.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of table updates: several within the time after which a router reads the store itself.
const TABLES_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of expiry of old state.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of reports of this router's load.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum prompt parts per datagram, so that no link fragments it.
const MAX_PARTS: usize = 24;
/// Maximum servers per datagram to which connections were lost, for the same reason.
const MAX_LOST_SERVERS: usize = 24;

/// Fires at a fixed interval.
struct Periodic {
    interval: Duration,
    due_at: Duration,
}

impl Periodic {
    fn every(interval: Duration) -> Self {
        Self {
            interval,
            due_at: Duration::ZERO,
        }
    }

    fn is_due(&mut self, now: Duration) -> bool {
        if now < self.due_at {
            return false;
        }
        self.due_at = now + self.interval;
        true
    }
}

/// Runs the periodic tasks until the task is dropped.
pub async fn run(core: Rc<Core>) {
    let mut asked_owners = false;
    let mut last_sent_confirmation = None;
    let mut full_report = Periodic::every(FULL_REPORT_INTERVAL);
    let mut shares = Periodic::every(SHARES_INTERVAL);
    let mut rates = Periodic::every(RATES_INTERVAL);
    let mut tables = Periodic::every(TABLES_INTERVAL);
    let mut expiry = Periodic::every(EXPIRY_INTERVAL);
    let mut load_report_due = Periodic::every(LOAD_REPORT_INTERVAL);
    let mut load_report = LoadReport::default();
    let mut broadcast = Periodic::every(Duration::ZERO);
    loop {
        let asks_owners = loads::asks_owners(&core);
        let pace = Pace::of(&core, asks_owners);
        rates.interval = pace.rates_interval;
        broadcast.interval = pace.broadcast_interval;
        let due_at = core.now() + pace.tick;
        tokio::select! {
            () = sleep(pace.tick) => {
                let now = core.now();
                record_delay(&core, now.saturating_sub(due_at), now);
            }
            () = core.gossip_now.notified() => {
                tables.due_at = Duration::ZERO;
                broadcast.due_at = Duration::ZERO;
            }
        }
        let now = core.now();
        if shares.is_due(now) {
            refill_shares(&core, now);
            streams::tick(&core);
        }
        if load_report_due.is_due(now) {
            load_report.report(&core);
        }
        if expiry.is_due(now) {
            expire(&core, &pace, asks_owners, now);
        }
        send_evidence(&core, now);
        retries::exchange(&core, now);
        let is_full = full_report.is_due(now);
        limits::report(&core, asks_owners, is_full);
        let mut message = GossipMessage::default();
        if asks_owners {
            if is_full {
                loads::report(&core, true);
            }
            if rates.is_due(now) {
                rates::report_rates(&core);
            }
            // Withdraws the loads that all routers were told before.
            message.report.replaces_loads = !asked_owners;
            message.report.replaces_rates = !asked_owners;
            if asked_owners && !broadcast.is_due(now) {
                continue;
            }
        } else {
            message = gossip_message(&core, is_full, rates.is_due(now));
        }
        message.lost_servers = core
            .placer
            .borrow_mut()
            .take_unreported_losses(MAX_LOST_SERVERS);
        let confirmation = gossip_confirmation(&core);
        if tables.is_due(now) {
            message.tables = table_updates(&core, now);
        }
        if confirmation != last_sent_confirmation {
            last_sent_confirmation = confirmation;
            message.confirmation = confirmation;
        }
        // In a large fleet the broadcast also shows that this router is live.
        if !asks_owners && message == GossipMessage::default() {
            continue;
        }
        asked_owners = asks_owners;
        let destinations = core.peer_directory.borrow_mut().destinations(now);
        core.socket.send(&message, &destinations, &core.metrics);
    }
}

/// Tells all routers of the evidence against prompt parts, in a datagram of its own.
fn send_evidence(core: &Core, now: Duration) {
    let fleet_size = to_u32(core.peer_directory.borrow().fleet_size());
    let evidence = core.evidence.borrow_mut().take_message(fleet_size, now);
    if evidence.is_empty() {
        return;
    }
    let message = GossipMessage {
        evidence,
        ..GossipMessage::default()
    };
    let destinations = core.peer_directory.borrow_mut().destinations(now);
    core.socket.send(&message, &destinations, &core.metrics);
}

fn expire(core: &Core, pace: &Pace, asks_owners: bool, now: Duration) {
    {
        let mut placer = core.placer.borrow_mut();
        placer.peers.set_timeout(pace.peer_timeout);
        placer.expire(now);
        placer.set_reported_parts(if asks_owners {
            ReportedParts::LastShared
        } else {
            ReportedParts::Shared
        });
        if asks_owners {
            placer.set_fleet_size(core.peer_directory.borrow().fleet_size());
            placer.expire_parts(CACHE_LIFETIME, now);
            placer.peers.forget_owned();
        } else {
            placer.forget_typical_loads();
        }
    }
    {
        let mut peer_directory = core.peer_directory.borrow_mut();
        peer_directory.set_silent_after(pace.silent_after);
        peer_directory.forget_owners();
    }
    retries::on_listed(core);
    retries::expire(core, now);
    core.part_directory.borrow_mut().expire(now);
    {
        let mut evidence = core.evidence.borrow_mut();
        evidence.expire(now);
        let quarantined = i64::try_from(evidence.quarantined()).unwrap_or(i64::MAX);
        core.metrics.quarantined_parts.set(quarantined);
    }
    let limited = i64::try_from(core.placer.borrow().limits.limited()).unwrap_or(i64::MAX);
    core.metrics.limited_servers.set(limited);
    availability::update(core);
    {
        let mut placer = core.placer.borrow_mut();
        for server in core.pool.expire() {
            placer.on_connection_lost(server, now);
        }
        core.pool
            .forget_servers(|server| placer.registry.get(server).is_some());
        let idle = i64::try_from(core.pool.idle()).unwrap_or(i64::MAX);
        core.metrics.connections.idle.set(idle);
    }
    update_preceding_routers(core, now);
}

/// Updates whether this router reads the store's tables for the others.
fn update_preceding_routers(core: &Core, now: Duration) {
    let peer_directory = core.peer_directory.borrow();
    core.shared.tables.set_preceding_routers(
        peer_directory.preceding_routers(now),
        peer_directory.fleet_size(),
    );
}

fn table_updates(core: &Core, now: Duration) -> Vec<TableUpdate> {
    if core.shared.tables.follows_gossip() {
        return Vec::new();
    }
    let mut outboxes = core.outboxes.borrow_mut();
    let numbered = (0..).zip(outboxes.iter_mut());
    numbered
        .filter_map(|(table, outbox)| outbox.take(now).map(|delta| TableUpdate { table, delta }))
        .collect()
}

fn record_delay(core: &Core, delay: Duration, now: Duration) {
    core.unread.borrow_mut().decay();
    let mut overload = core.overload.borrow_mut();
    let has_changed = overload.on_delay(delay, now);
    #[allow(clippy::cast_possible_truncation)]
    let shed_percent = (overload.shed_fraction() * 100.0) as i64;
    core.metrics.shed_percent.set(shed_percent);
    core.shedding.borrow_mut().update(overload.shed_fraction());
    if has_changed {
        log::warn!(
            is_crowded = overload.is_overloaded(),
            mean_delay_ms = millis(overload.mean_delay()),
            under_way = core.in_flight.get();
            "processor load changed the router's readiness"
        );
    }
}

fn refill_shares(core: &Core, now: Duration) {
    let capacity = core
        .active_configuration
        .borrow()
        .current()
        .and_then(|configuration| configuration.limits.tokens_per_s);
    let Some(capacity) = capacity else {
        return;
    };
    let others = core.placer.borrow().peers.rates();
    let fleet_size = core.peer_directory.borrow().fleet_size();
    core.shares
        .borrow_mut()
        .tick(others, capacity, fleet_size, now);
}

fn gossip_message(core: &Core, is_full: bool, with_rates: bool) -> GossipMessage {
    let mut placer = core.placer.borrow_mut();
    let rates = if with_rates || is_full {
        core.shares.borrow().rates().into_iter().collect()
    } else {
        Vec::new()
    };
    let parts = placer.take_unreported_parts(MAX_PARTS);
    GossipMessage {
        report: PeerReport {
            replaces_loads: is_full,
            replaces_rates: is_full,
            loads: placer.take_loads(is_full),
            rates,
        },
        parts: parts
            .into_iter()
            .map(|(server, part)| PartUpdate { server, part })
            .collect(),
        ..GossipMessage::default()
    }
}

fn gossip_confirmation(core: &Core) -> Option<GossipConfirmation> {
    let confirmation = core.active_configuration.borrow().newest_confirmation()?;
    Some(GossipConfirmation {
        version: confirmation.version,
        store_time: confirmation.store_time,
    })
}

/// Applies a confirmation received from another router. It is dated by the store's clock, so that a
/// delayed datagram does not extend the key lease.
fn apply_confirmation(core: &Core, confirmation: GossipConfirmation) {
    core.shared.freshness.on_peer_version(confirmation.version);
    core.shared
        .store_clock
        .limit(suspension_clock(), confirmation.store_time);
    let Some(as_of) = core.shared.store_clock.earliest(confirmation.store_time) else {
        return;
    };
    let as_of = as_of.min(suspension_clock());
    let mut active_configuration = core.active_configuration.borrow_mut();
    active_configuration.confirm(Confirmation {
        version: confirmation.version,
        as_of,
        store_time: confirmation.store_time,
    });
    if active_configuration
        .newest_confirmation()
        .is_some_and(|newest| newest.version == confirmation.version)
    {
        core.shared
            .freshness
            .on_confirmed(confirmation.version, as_of);
    }
}

/// Receives and applies gossip until the task is dropped.
pub async fn receive(core: Rc<Core>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = match core.socket.receive(&mut buffer).await {
            Ok(length) => length,
            Err(error) => {
                // An ICMP error: an earlier datagram reached a closed port.
                log::debug!("cannot receive a datagram: {error}");
                continue;
            }
        };
        let now = core.now();
        let result = core
            .peer_directory
            .borrow_mut()
            .receive(&buffer[..length], now);
        match result {
            Ok((host, mut message)) => {
                streams::on_message(&core, host, &mut message);
                let mut placer = core.placer.borrow_mut();
                placer.peers.on_report(host, &message.report, now);
                let mut part_directory = core.part_directory.borrow_mut();
                for update in message.parts {
                    placer.on_peer_part(update.server, update.part, now);
                    part_directory.on_use(update.part.id, update.server, now);
                }
                drop(part_directory);
                for server in message.lost_servers {
                    placer.on_peer_loss(server, now);
                }
                let random_fraction = core.random_fraction();
                core.evidence
                    .borrow_mut()
                    .receive(&message.evidence, random_fraction, now);
                for table in message.tables {
                    core.shared.tables.deliver(table, now);
                }
                drop(placer);
                limits::on_notices(&core, host, &message.limits);
                retries::on_message(&core, host, message.retries);
                if let Some(confirmation) = message.confirmation {
                    apply_confirmation(&core, confirmation);
                }
                core.metrics
                    .datagrams
                    .with_label_values(&["received"])
                    .inc();
                if let Some(query) = message.query {
                    loads::on_query(&core, host, &query);
                }
                if let Some(answer) = message.answer {
                    loads::on_answer(&core, host, &answer);
                }
                if !message.rate_queries.is_empty() {
                    rates::on_rate_queries(&core, host, &message.rate_queries);
                }
                for answer in message.rate_answers {
                    let rates = answer.rates.into_iter().collect();
                    let mut placer = core.placer.borrow_mut();
                    placer.peers.on_rate_answer(answer.group, rates, now);
                }
                core.capacity_freed.notify_one();
            }
            Err(error) => {
                core.metrics
                    .datagrams
                    .with_label_values(&[error.to_string().as_str()])
                    .inc();
            }
        }
    }
}
