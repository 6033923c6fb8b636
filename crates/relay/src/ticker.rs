//! What a router does by the clock: tells its peers, refills shares, drops what is old.

use {
    crate::{
        core::Core,
        gossip::{Confirmed, News, Sender, ToldPart, ToldTable, seal},
        identity::Identity,
    },
    baobab_place::PeerReport,
    baobab_routing::Confirmation,
    baobab_unit::{id_of, millis, to_u32},
    baobab_watch::suspension_clock,
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Shortest time between two reports: a few are sent while an engine reads one prompt.
const LEAST_INTERVAL: Duration = Duration::from_millis(15);
/// Time that each further router adds to the interval, which bounds the datagrams that a router
/// receives a second.
const INTERVAL_PER_PEER: Duration = Duration::from_millis(3);
/// Time between two reports of everything, which heal lost ones.
const WHOLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two refills of the shares.
const SHARES_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two reports of what workspaces ask for.
const CLAIMS_INTERVAL: Duration = Duration::from_millis(100);
/// Time that each further router adds to it; claims are averages over two seconds.
const CLAIMS_INTERVAL_PER_PEER: Duration = Duration::from_millis(8);
/// Time between two tellings of the store's tables: several in the time after which a router
/// asks the store itself.
const TABLES_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two sweeps of what is old.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Largest datagram that crosses every link whole.
const DATAGRAM_BYTES: usize = 1400;
/// Prompt parts that one datagram tells, so that it stays within its size.
const MOST_PARTS: usize = 24;

/// Something that falls due again and again.
struct Due {
    interval: Duration,
    at: Duration,
}

impl Due {
    fn every(interval: Duration) -> Self {
        Self {
            interval,
            at: Duration::ZERO,
        }
    }

    fn is_due(&mut self, now: Duration) -> bool {
        if now < self.at {
            return false;
        }
        self.at = now + self.interval;
        true
    }
}

/// Ticks until the task is dropped.
pub async fn run(core: Rc<Core>, socket: Rc<UdpSocket>, identity: Identity) {
    let mut number = 0;
    let mut told = None;
    let mut whole = Due::every(WHOLE_INTERVAL);
    let mut shares = Due::every(SHARES_INTERVAL);
    let mut claims = Due::every(CLAIMS_INTERVAL);
    let mut tables = Due::every(TABLES_INTERVAL);
    let mut sweep = Due::every(SWEEP_INTERVAL);
    loop {
        let peers = peers(&core);
        let interval = LEAST_INTERVAL.max(INTERVAL_PER_PEER * peers);
        claims.interval = CLAIMS_INTERVAL.max(CLAIMS_INTERVAL_PER_PEER * peers);
        let due_at = core.now() + interval;
        sleep(interval).await;
        let now = core.now();
        note_delay(&core, now.saturating_sub(due_at), now);
        if shares.is_due(now) {
            refill(&core, now);
        }
        if sweep.is_due(now) {
            core.placer.borrow_mut().expire(now);
            core.pool.expire();
            note_place(&core, now);
        }
        let mut news = news(&core, whole.is_due(now), claims.is_due(now));
        let confirmed = confirmed(&core);
        if tables.is_due(now) {
            news.tables = told_tables(&core, now);
        }
        if confirmed != told {
            told = confirmed;
            news.confirmed = confirmed;
        }
        if news == News::default() {
            continue;
        }
        number += 1;
        let sender = Sender {
            host: id_of(&core.settings.host),
            incarnation: identity.incarnation,
            number,
        };
        let datagram = seal(sender, &news, &identity.key);
        if datagram.len() > DATAGRAM_BYTES {
            log::debug!(bytes = datagram.len(); "a report is larger than a datagram should be");
        }
        tell(&core, &socket, &datagram, now);
    }
}

fn peers(core: &Core) -> u32 {
    to_u32(core.book.borrow().fleet_size() - 1)
}

/// Notes whether this router reads the store's tables for the others.
fn note_place(core: &Core, now: Duration) {
    let book = core.book.borrow();
    core.shared
        .tables
        .set_rank(book.rank(now), book.fleet_size());
}

fn told_tables(core: &Core, now: Duration) -> Vec<ToldTable> {
    if core.shared.tables.follows_gossip() {
        return Vec::new();
    }
    let mut outboxes = core.outboxes.borrow_mut();
    let numbered = (0..).zip(outboxes.iter_mut());
    numbered
        .filter_map(|(table, outbox)| outbox.take(now).map(|delta| ToldTable { table, delta }))
        .collect()
}

fn note_delay(core: &Core, delay: Duration, now: Duration) {
    let mut overload = core.overload.borrow_mut();
    if overload.on_delay(delay, now) {
        log::warn!(
            is_crowded = overload.is_congested(),
            mean_delay_ms = millis(overload.mean_delay()),
            under_way = core.under_way.get();
            "the processor's load has changed the router's readiness"
        );
    }
}

fn refill(core: &Core, now: Duration) {
    let capacity = core
        .active_configuration
        .borrow()
        .current()
        .and_then(|configuration| configuration.limits.tokens_per_s);
    let Some(capacity) = capacity else {
        return;
    };
    let others = core.placer.borrow().peers.claims();
    let fleet_size = core.book.borrow().fleet_size();
    core.shares
        .borrow_mut()
        .tick(&others, capacity, fleet_size, now);
}

fn news(core: &Core, is_full: bool, tells_claims: bool) -> News {
    let mut placer = core.placer.borrow_mut();
    let claims = if tells_claims || is_full {
        core.shares.borrow().claims().into_iter().collect()
    } else {
        Vec::new()
    };
    let parts = placer.take_new_parts(MOST_PARTS);
    News {
        report: PeerReport {
            is_full,
            loads: placer.take_loads(is_full),
            claims,
        },
        parts: parts
            .into_iter()
            .map(|(server, part)| ToldPart { server, part })
            .collect(),
        confirmed: None,
        tables: Vec::new(),
    }
}

fn confirmed(core: &Core) -> Option<Confirmed> {
    let confirmation = core.active_configuration.borrow().newest_confirmation()?;
    Some(Confirmed {
        version: confirmation.version,
        store_time: confirmation.store_time,
    })
}

/// Takes another router's word for what the store said. It is dated by the store's clock, so that
/// a late datagram extends no lease.
fn on_confirmed(core: &Core, confirmed: Confirmed) {
    core.shared.freshness.on_peer_version(confirmed.version);
    let Some(as_of) = core.shared.store_clock.earliest(confirmed.store_time) else {
        return;
    };
    let as_of = as_of.min(suspension_clock());
    let mut active_configuration = core.active_configuration.borrow_mut();
    active_configuration.confirm(Confirmation {
        version: confirmed.version,
        as_of,
        store_time: confirmed.store_time,
    });
    if active_configuration
        .newest_confirmation()
        .is_some_and(|newest| newest.version == confirmed.version)
    {
        core.shared.freshness.on_confirmed(confirmed.version, as_of);
    }
}

fn tell(core: &Core, socket: &UdpSocket, datagram: &[u8], now: Duration) {
    let receivers = core.book.borrow_mut().receivers(now);
    for receiver in receivers {
        let outcome = match socket.try_send_to(datagram, receiver) {
            Ok(_) => "sent",
            Err(_) => "send_failed",
        };
        core.metrics.datagrams.with_label_values(&[outcome]).inc();
    }
}

/// Takes other routers' datagrams in until the task is dropped.
pub async fn receive(core: Rc<Core>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let length = match socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                // An earlier datagram met a closed port.
                log::debug!("a datagram could not be received: {error}");
                continue;
            }
        };
        let now = core.now();
        let result = core.book.borrow_mut().receive(&buffer[..length], now);
        match result {
            Ok((host, news)) => {
                let mut placer = core.placer.borrow_mut();
                placer.peers.on_report(host, &news.report, now);
                for told in news.parts {
                    placer.on_peer_part(told.server, told.part, now);
                }
                for table in news.tables {
                    core.shared.tables.on_delta(table, now);
                }
                if let Some(confirmed) = news.confirmed {
                    on_confirmed(&core, confirmed);
                }
                core.metrics
                    .datagrams
                    .with_label_values(&["received"])
                    .inc();
                drop(placer);
                core.room.notify_one();
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
