//! Dispatchers and routers with scripted deliveries: loss, delay, repetition, cuts and pauses.

#![allow(dead_code)]

pub mod network;
pub mod router;

use {
    baobab_fair::{Action, Dispatcher, EngineSlots, Tuning, WorkspaceWeight},
    baobab_unit::{HostId, Incarnation, PoolId, Token, WorkspaceId},
    network::{Message, Network},
    router::FakeRouter,
    std::{collections::BTreeMap, time::Duration},
};

pub const MODEL: u32 = 1;
pub const STEP: Duration = Duration::from_millis(10);
/// Tokens a second of every stream.
pub const STREAM_RATE: f64 = 20.0;

/// A dispatcher and the host that it runs on.
pub struct Seat {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub dispatcher: Dispatcher,
    /// A paused dispatcher neither receives nor decides.
    pub is_paused: bool,
    held: Vec<(HostId, Message)>,
}

/// A fleet with one pool, one dispatcher and some routers in each domain. Domain and pool have
/// the same number, from one.
pub struct Fleet {
    pub now: Duration,
    pub seats: BTreeMap<PoolId, Seat>,
    pub routers: Vec<FakeRouter>,
    pub network: Network,
    pub weights: Vec<WorkspaceWeight>,
    pub slots: BTreeMap<PoolId, Vec<EngineSlots>>,
}

impl Fleet {
    pub fn start(
        domains: u32,
        routers: u32,
        engines: u32,
        slots: u32,
        list: &[(u32, u32)],
    ) -> Self {
        let now = Duration::from_secs(10);
        let mut fleet = Self {
            now,
            seats: BTreeMap::new(),
            routers: Vec::new(),
            network: Network::new(),
            weights: weights(list),
            slots: BTreeMap::new(),
        };
        for domain in 1..=domains {
            let first = domain * 100;
            let slots = (1..=engines)
                .map(|engine| EngineSlots {
                    engine: first + engine,
                    slots,
                    leaving: false,
                })
                .collect();
            fleet.slots.insert(domain, slots);
            fleet.seat(domain, domain * 1000, 1);
            for router in 1..=routers {
                let router =
                    FakeRouter::new(first + router, domain, &(1..=domains).collect::<Vec<_>>());
                fleet.routers.push(router);
            }
        }
        fleet.point_routers();
        fleet
    }

    /// Puts a new dispatcher with empty memory in charge of a pool.
    pub fn seat(&mut self, pool: PoolId, host: HostId, incarnation: Incarnation) {
        let mut dispatcher =
            Dispatcher::start(self.now, pool, MODEL, incarnation, Tuning::default());
        dispatcher.set_engines(&self.slots[&pool]);
        dispatcher.set_workspaces(&self.weights);
        dispatcher.set_urgent_reserve(0);
        let seat = Seat {
            host,
            incarnation,
            dispatcher,
            is_paused: false,
            held: Vec::new(),
        };
        self.seats.insert(pool, seat);
    }

    /// Tells all routers who dispatches each pool.
    pub fn point_routers(&mut self) {
        for (pool, seat) in &self.seats {
            for router in &mut self.routers {
                router.set_dispatcher(*pool, seat.host);
            }
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for (from, to, message) in self.network.due(self.now) {
            self.receive(from, to, message);
        }
        let mut sent = Vec::new();
        for router in self.routers.iter_mut().filter(|router| !router.is_paused) {
            router.run(self.now);
            for (pool, to, report) in router.reports(self.now) {
                let message = Message::Report(router.incarnation, report);
                sent.push((router.host, router.domain, to, pool, message));
            }
        }
        let hosts: Vec<(PoolId, HostId)> = self
            .seats
            .iter()
            .map(|(pool, seat)| (*pool, seat.host))
            .collect();
        for (pool, seat) in &mut self.seats {
            if seat.is_paused {
                continue;
            }
            for action in seat.dispatcher.tick(self.now) {
                sent.extend(messages(*pool, seat.host, seat.incarnation, &hosts, action));
            }
        }
        for (from, from_domain, to, to_domain, message) in sent {
            let to_domain = if to_domain == 0 {
                domain_of(to)
            } else {
                to_domain
            };
            self.network
                .send(self.now, (from, from_domain), (to, to_domain), &message);
        }
    }

    pub fn streams(&self) -> usize {
        self.routers.iter().map(FakeRouter::streams).sum()
    }

    pub fn streams_in(&self, pool: PoolId) -> usize {
        self.routers
            .iter()
            .map(|router| router.streams_in(pool))
            .sum()
    }

    pub fn tokens(&self, workspace: WorkspaceId) -> Token {
        self.routers
            .iter()
            .map(|router| router.tokens(workspace))
            .sum()
    }

    pub fn router(&mut self, host: HostId) -> &mut FakeRouter {
        self.routers
            .iter_mut()
            .find(|router| router.host == host)
            .expect("there is such a router")
    }

    fn receive(&mut self, from: HostId, to: HostId, message: Message) {
        if let Some(router) = self.routers.iter_mut().find(|router| router.host == to) {
            if router.is_paused {
                router.held.push((from, message));
            } else {
                router.receive(self.now, from, &message);
            }
            return;
        }
        let Some(seat) = self.seats.values_mut().find(|seat| seat.host == to) else {
            return;
        };
        if seat.is_paused {
            seat.held.push((from, message));
            return;
        }
        match message {
            Message::Report(incarnation, report) => {
                seat.dispatcher
                    .on_report(self.now, from, incarnation, &report);
            }
            Message::PoolUpdate(incarnation, update) => {
                seat.dispatcher
                    .on_pool_update(self.now, from, incarnation, &update);
            }
            Message::Sync(rows) => seat.dispatcher.on_sync(&rows),
            Message::Grants(..) => {}
        }
    }

    /// Wakes everything that is paused; what it was sent meanwhile arrives now.
    pub fn wake(&mut self) {
        let mut held = Vec::new();
        for seat in self.seats.values_mut() {
            seat.is_paused = false;
            let messages = std::mem::take(&mut seat.held);
            held.extend(
                messages
                    .into_iter()
                    .map(|(from, message)| (from, seat.host, message)),
            );
        }
        for router in &mut self.routers {
            router.is_paused = false;
            let messages = std::mem::take(&mut router.held);
            held.extend(
                messages
                    .into_iter()
                    .map(|(from, message)| (from, router.host, message)),
            );
        }
        for (from, to, message) in held {
            self.receive(from, to, message);
        }
    }
}

type Envelope = (HostId, u32, HostId, u32, Message);

fn messages(
    pool: PoolId,
    host: HostId,
    incarnation: Incarnation,
    hosts: &[(PoolId, HostId)],
    action: Action,
) -> Vec<Envelope> {
    match action {
        Action::Grants { to, grants } => {
            vec![(host, pool, to, 0, Message::Grants(incarnation, grants))]
        }
        Action::PoolUpdate(update) => hosts
            .iter()
            .filter(|(other, _)| *other != pool)
            .map(|(other, to)| {
                let message = Message::PoolUpdate(incarnation, update.clone());
                (host, pool, *to, *other, message)
            })
            .collect(),
        Action::Sync { to, rows, .. } => vec![(host, pool, to, 0, Message::Sync(rows))],
    }
}

fn domain_of(host: HostId) -> u32 {
    if host >= 1000 {
        host / 1000
    } else {
        host / 100
    }
}

pub fn weights(list: &[(WorkspaceId, u32)]) -> Vec<WorkspaceWeight> {
    list.iter()
        .map(|(workspace, weight)| WorkspaceWeight {
            workspace: *workspace,
            weight: *weight,
        })
        .collect()
}
