//! A simulated network with loss, duplication, delay and partitions.

use {
    baobab_fair::{Grants, PoolUpdate, Report, SyncRow},
    baobab_unit::{HostId, Incarnation},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeSet, time::Duration},
};

#[derive(Debug, Clone)]
pub enum Message {
    Report(Incarnation, Report),
    Grants(Incarnation, Grants),
    PoolUpdate(Incarnation, PoolUpdate),
    Sync(Vec<SyncRow>),
}

/// A host and its domain.
type Endpoint = (HostId, u32);

pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub min_delay: Duration,
    pub max_delay: Duration,
    /// Pairs of domains, sender first, between which all messages are lost.
    pub partitioned: BTreeSet<(u32, u32)>,
    /// Hosts whose incoming and outgoing messages are lost.
    pub isolated: BTreeSet<HostId>,
    pub sent: u64,
    random: ChaCha8Rng,
    in_flight: Vec<(Duration, HostId, HostId, Message)>,
}

impl Network {
    pub fn new() -> Self {
        Self {
            loss: 0.0,
            duplication: 0.0,
            min_delay: Duration::ZERO,
            max_delay: Duration::ZERO,
            partitioned: BTreeSet::new(),
            isolated: BTreeSet::new(),
            sent: 0,
            random: ChaCha8Rng::seed_from_u64(11),
            in_flight: Vec::new(),
        }
    }

    pub fn partition(&mut self, domain: u32, others: impl IntoIterator<Item = u32>) {
        for other in others {
            self.partitioned.insert((domain, other));
            self.partitioned.insert((other, domain));
        }
    }

    pub fn send(&mut self, now: Duration, from: Endpoint, to: Endpoint, message: &Message) {
        self.sent += 1;
        let blocked = self.partitioned.contains(&(from.1, to.1))
            || self.isolated.contains(&to.0)
            || self.isolated.contains(&from.0);
        if blocked || self.random.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u32::from(self.random.random_bool(self.duplication));
        for _ in 0..copies {
            let fraction: f64 = self.random.random();
            let delay = self.min_delay
                + self
                    .max_delay
                    .saturating_sub(self.min_delay)
                    .mul_f64(fraction);
            self.in_flight
                .push((now + delay, from.0, to.0, message.clone()));
        }
    }

    /// Removes and returns the messages that have arrived by `now`, in order of arrival.
    pub fn take_arrived(&mut self, now: Duration) -> Vec<(HostId, HostId, Message)> {
        let mut arrived: Vec<_> = self
            .in_flight
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        arrived.sort_by_key(|(at, ..)| *at);
        arrived
            .into_iter()
            .map(|(_, from, to, message)| (from, to, message))
            .collect()
    }
}
