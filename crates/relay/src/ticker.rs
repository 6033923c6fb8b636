//! What a router does by the clock: tells its peers, refills shares, drops what is old.

use {
    crate::{
        core::Core,
        gossip::{News, Sender, ToldPart, seal},
        relay::Identity,
    },
    baobab_place::PeerReport,
    baobab_unit::id_of,
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
    let mut whole = Due::every(WHOLE_INTERVAL);
    let mut shares = Due::every(SHARES_INTERVAL);
    let mut sweep = Due::every(SWEEP_INTERVAL);
    loop {
        let peers = u32::try_from(core.book.borrow().fleet_size() - 1).unwrap_or(u32::MAX);
        sleep(LEAST_INTERVAL.max(INTERVAL_PER_PEER * peers)).await;
        let now = core.now();
        let tells_claims = shares.is_due(now);
        if tells_claims {
            refill(&core, now);
        }
        if sweep.is_due(now) {
            core.placer.borrow_mut().expire(now);
            core.pool.expire();
        }
        let news = news(&core, whole.is_due(now), tells_claims);
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

fn refill(core: &Core, now: Duration) {
    let capacity = core
        .force
        .borrow()
        .current()
        .and_then(|configuration| configuration.limits.tokens_per_s);
    let Some(capacity) = capacity else {
        return;
    };
    let others = core.placer.borrow().peers.claims();
    core.shares.borrow_mut().tick(&others, capacity, now);
}

fn news(core: &Core, is_whole: bool, tells_claims: bool) -> News {
    let mut placer = core.placer.borrow_mut();
    let claims = if tells_claims || is_whole {
        core.shares.borrow().claims().into_iter().collect()
    } else {
        Vec::new()
    };
    let parts = placer.take_told_parts(MOST_PARTS);
    News {
        report: PeerReport {
            is_whole,
            loads: placer.take_loads(is_whole),
            claims,
        },
        parts: parts
            .into_iter()
            .map(|(server, part)| ToldPart { server, part })
            .collect(),
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
                    placer.on_told_part(told.server, told.part, now);
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
