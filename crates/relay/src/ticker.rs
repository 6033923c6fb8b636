//! Periodic tasks: sends gossip, refills shares, expires old state. Also receives gossip.

use {
    crate::{
        core::Core,
        gossip::{GossipConfirmation, GossipMessage, PartUpdate, Sender, TableUpdate, seal},
        identity::Identity,
    },
    baobab_place::PeerReport,
    baobab_routing::Confirmation,
    baobab_unit::{id_of, millis, to_u32},
    baobab_watch::suspension_clock,
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Minimum gossip interval: a few messages are sent during the prefill of one prompt.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(15);
/// The gossip interval is at least this times the number of peers, which bounds the datagrams per
/// second that a router receives.
const GOSSIP_INTERVAL_PER_PEER: Duration = Duration::from_millis(3);
/// Interval of full reports, which make up for lost ones.
const FULL_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of share refills.
const SHARES_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval of reports of the workspaces' rates.
const RATES_INTERVAL: Duration = Duration::from_millis(100);
/// The same interval is at least this times the number of peers; the rates are averages over two
/// seconds.
const RATES_INTERVAL_PER_PEER: Duration = Duration::from_millis(8);
/// Interval of table updates: several within the time after which a router reads the store itself.
const TABLES_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of expiry of old state.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);
/// Largest datagram that no link fragments.
const MAX_DATAGRAM_BYTES: usize = 1400;
/// Maximum prompt parts per datagram, so that it stays within [`MAX_DATAGRAM_BYTES`].
const MAX_PARTS: usize = 24;

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
pub async fn run(core: Rc<Core>, socket: Rc<UdpSocket>, identity: Identity) {
    let mut number = 0;
    let mut last_sent_confirmation = None;
    let mut full_report = Periodic::every(FULL_REPORT_INTERVAL);
    let mut shares = Periodic::every(SHARES_INTERVAL);
    let mut rates = Periodic::every(RATES_INTERVAL);
    let mut tables = Periodic::every(TABLES_INTERVAL);
    let mut expiry = Periodic::every(EXPIRY_INTERVAL);
    loop {
        let peer_count = peer_count(&core);
        let interval = MIN_GOSSIP_INTERVAL.max(GOSSIP_INTERVAL_PER_PEER * peer_count);
        rates.interval = RATES_INTERVAL.max(RATES_INTERVAL_PER_PEER * peer_count);
        let due_at = core.now() + interval;
        sleep(interval).await;
        let now = core.now();
        record_delay(&core, now.saturating_sub(due_at), now);
        if shares.is_due(now) {
            refill_shares(&core, now);
        }
        if expiry.is_due(now) {
            core.placer.borrow_mut().expire(now);
            core.pool.expire();
            update_preceding_routers(&core, now);
        }
        let mut message = gossip_message(&core, full_report.is_due(now), rates.is_due(now));
        let confirmation = gossip_confirmation(&core);
        if tables.is_due(now) {
            message.tables = table_updates(&core, now);
        }
        if confirmation != last_sent_confirmation {
            last_sent_confirmation = confirmation;
            message.confirmation = confirmation;
        }
        if message == GossipMessage::default() {
            continue;
        }
        number += 1;
        let sender = Sender {
            host: id_of(&core.settings.host),
            incarnation: identity.incarnation,
            number,
        };
        let datagram = seal(sender, &message, &identity.key);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            log::debug!(bytes = datagram.len(); "gossip message exceeds the datagram size");
        }
        send(&core, &socket, &datagram, now);
    }
}

fn peer_count(core: &Core) -> u32 {
    to_u32(core.peer_directory.borrow().fleet_size() - 1)
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
    let mut overload = core.overload.borrow_mut();
    if overload.on_delay(delay, now) {
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
        .tick(&others, capacity, fleet_size, now);
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
            is_full,
            loads: placer.take_loads(is_full),
            rates,
        },
        parts: parts
            .into_iter()
            .map(|(server, part)| PartUpdate { server, part })
            .collect(),
        confirmation: None,
        tables: Vec::new(),
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

fn send(core: &Core, socket: &UdpSocket, datagram: &[u8], now: Duration) {
    let destinations = core.peer_directory.borrow_mut().destinations(now);
    for destination in destinations {
        let outcome = match socket.try_send_to(datagram, destination) {
            Ok(_) => "sent",
            Err(_) => "send_failed",
        };
        core.metrics.datagrams.with_label_values(&[outcome]).inc();
    }
}

/// Receives and applies gossip until the task is dropped.
pub async fn receive(core: Rc<Core>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
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
            Ok((host, message)) => {
                let mut placer = core.placer.borrow_mut();
                placer.peers.on_report(host, &message.report, now);
                for update in message.parts {
                    placer.on_peer_part(update.server, update.part, now);
                }
                for table in message.tables {
                    core.shared.tables.deliver(table, now);
                }
                if let Some(confirmation) = message.confirmation {
                    apply_confirmation(&core, confirmation);
                }
                core.metrics
                    .datagrams
                    .with_label_values(&["received"])
                    .inc();
                drop(placer);
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
