//! Simulated fleet of dispatchers and routers, with message loss, delay and duplication, network
//! partitions and paused processes.

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
/// Rate of every stream, in tokens a second.
pub const STREAM_RATE: f64 = 20.0;

/// A dispatcher and its host.
pub struct DispatcherNode {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub dispatcher: Dispatcher,
    /// A paused dispatcher neither receives nor decides.
    pub is_paused: bool,
    inbox: Vec<(HostId, Message)>,
}

/// A fleet with one pool, one dispatcher and some routers in each domain. Domain and pool have
/// the same number, from one.
pub struct Fleet {
    pub now: Duration,
    pub nodes: BTreeMap<PoolId, DispatcherNode>,
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
            nodes: BTreeMap::new(),
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
            fleet.start_dispatcher(domain, domain * 1000, 1);
            for router in 1..=routers {
                let router =
                    FakeRouter::new(first + router, domain, &(1..=domains).collect::<Vec<_>>());
                fleet.routers.push(router);
            }
        }
        fleet.announce_dispatchers();
        fleet
    }

    /// Replaces a pool's dispatcher by a new one with empty state.
    pub fn start_dispatcher(&mut self, pool: PoolId, host: HostId, incarnation: Incarnation) {
        let mut dispatcher =
            Dispatcher::start(self.now, pool, MODEL, incarnation, Tuning::default());
        dispatcher.set_engines(&self.slots[&pool]);
        dispatcher.set_workspaces(&self.weights);
        dispatcher.set_urgent_reserve(0);
        let node = DispatcherNode {
            host,
            incarnation,
            dispatcher,
            is_paused: false,
            inbox: Vec::new(),
        };
        self.nodes.insert(pool, node);
    }

    /// Sets the current dispatcher of every pool on all routers.
    pub fn announce_dispatchers(&mut self) {
        for (pool, node) in &self.nodes {
            for router in &mut self.routers {
                router.set_dispatcher(*pool, node.host);
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
        for (from, to, message) in self.network.take_arrived(self.now) {
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
            .nodes
            .iter()
            .map(|(pool, node)| (*pool, node.host))
            .collect();
        for (pool, node) in &mut self.nodes {
            if node.is_paused {
                continue;
            }
            for action in node.dispatcher.tick(self.now) {
                sent.extend(messages(*pool, node.host, node.incarnation, &hosts, action));
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
            .expect("a known router")
    }

    fn receive(&mut self, from: HostId, to: HostId, message: Message) {
        if let Some(router) = self.routers.iter_mut().find(|router| router.host == to) {
            if router.is_paused {
                router.inbox.push((from, message));
            } else {
                router.receive(self.now, from, &message);
            }
            return;
        }
        let Some(node) = self.nodes.values_mut().find(|node| node.host == to) else {
            return;
        };
        if node.is_paused {
            node.inbox.push((from, message));
            return;
        }
        match message {
            Message::Report(incarnation, report) => {
                node.dispatcher
                    .on_report(self.now, from, incarnation, &report);
            }
            Message::PoolUpdate(incarnation, update) => {
                node.dispatcher
                    .on_pool_update(self.now, from, incarnation, &update);
            }
            Message::Sync(rows) => node.dispatcher.on_sync(&rows),
            Message::Grants(..) => {}
        }
    }

    /// Resumes all paused nodes and delivers the messages that arrived during their pause.
    pub fn resume_all(&mut self) {
        let mut inbox = Vec::new();
        for node in self.nodes.values_mut() {
            node.is_paused = false;
            let messages = std::mem::take(&mut node.inbox);
            inbox.extend(
                messages
                    .into_iter()
                    .map(|(from, message)| (from, node.host, message)),
            );
        }
        for router in &mut self.routers {
            router.is_paused = false;
            let messages = std::mem::take(&mut router.inbox);
            inbox.extend(
                messages
                    .into_iter()
                    .map(|(from, message)| (from, router.host, message)),
            );
        }
        for (from, to, message) in inbox {
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
