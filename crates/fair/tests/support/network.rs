//! Deliveries between hosts.

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
type End = (HostId, u32);

pub struct Network {
    pub loss: f64,
    pub repetition: f64,
    pub least_delay: Duration,
    pub most_delay: Duration,
    /// Directions between domains that nothing passes along.
    pub cut: BTreeSet<(u32, u32)>,
    /// Hosts that nothing reaches.
    pub gone: BTreeSet<HostId>,
    pub sent: u64,
    random: ChaCha8Rng,
    held: Vec<(Duration, HostId, HostId, Message)>,
}

impl Network {
    pub fn new() -> Self {
        Self {
            loss: 0.0,
            repetition: 0.0,
            least_delay: Duration::ZERO,
            most_delay: Duration::ZERO,
            cut: BTreeSet::new(),
            gone: BTreeSet::new(),
            sent: 0,
            random: ChaCha8Rng::seed_from_u64(11),
            held: Vec::new(),
        }
    }

    pub fn cut_off(&mut self, domain: u32, others: impl IntoIterator<Item = u32>) {
        for other in others {
            self.cut.insert((domain, other));
            self.cut.insert((other, domain));
        }
    }

    pub fn send(&mut self, now: Duration, from: End, to: End, message: &Message) {
        self.sent += 1;
        let blocked = self.cut.contains(&(from.1, to.1))
            || self.gone.contains(&to.0)
            || self.gone.contains(&from.0);
        if blocked || self.random.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u32::from(self.random.random_bool(self.repetition));
        for _ in 0..copies {
            let part: f64 = self.random.random();
            let delay = self.least_delay
                + self
                    .most_delay
                    .saturating_sub(self.least_delay)
                    .mul_f64(part);
            self.held.push((now + delay, from.0, to.0, message.clone()));
        }
    }

    /// Takes out what arrives by now, in the order of arrival.
    pub fn due(&mut self, now: Duration) -> Vec<(HostId, HostId, Message)> {
        let mut due: Vec<_> = self.held.extract_if(.., |(at, ..)| *at <= now).collect();
        due.sort_by_key(|(at, ..)| *at);
        due.into_iter()
            .map(|(_, from, to, message)| (from, to, message))
            .collect()
    }
}
