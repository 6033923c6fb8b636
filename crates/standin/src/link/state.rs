//! Shared state of the routes: active cuts, random delays and losses, and byte counters.

use {
    super::RouteConf,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Sender's and receiver's failure domain.
type Direction = (String, String);

/// Traffic counters of one direction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LinkCounts {
    /// Bytes of UDP datagrams, including 28 bytes of IP and UDP headers each.
    pub udp_bytes: u64,
    /// Payload bytes of TCP connections.
    pub tcp_bytes: u64,
    /// Datagrams dropped by loss or a cut.
    pub lost: u64,
}

#[derive(Debug)]
struct Inner {
    rng: ChaCha8Rng,
    cuts: BTreeSet<Direction>,
    counts: BTreeMap<Direction, LinkCounts>,
}

/// State shared by all routes.
#[derive(Debug)]
pub struct LinkState {
    inner: Mutex<Inner>,
}

impl LinkState {
    /// Creates a state without cuts.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Mutex::new(Inner {
                rng: ChaCha8Rng::seed_from_u64(seed),
                cuts: BTreeSet::new(),
                counts: BTreeMap::new(),
            }),
        }
    }

    /// Blocks traffic from one failure domain to another.
    pub fn cut(&self, from: &str, to: &str) {
        self.lock().cuts.insert((from.to_owned(), to.to_owned()));
    }

    /// Removes all cuts.
    pub fn heal(&self) {
        self.lock().cuts.clear();
    }

    /// Returns the traffic counters by sender's and receiver's domain.
    #[must_use]
    pub fn counts(&self) -> Vec<(String, String, LinkCounts)> {
        self.lock()
            .counts
            .iter()
            .map(|((from, to), counts)| (from.clone(), to.clone(), counts.clone()))
            .collect()
    }

    /// Whether the direction between two failure domains is cut.
    pub(super) fn is_cut(&self, from: &str, to: &str) -> bool {
        self.lock().cuts.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Counts a datagram and returns its random delay, or `None` if it is dropped.
    pub(super) fn datagram_delay(&self, route: &RouteConf, size_bytes: usize) -> Option<Duration> {
        let mut inner = self.lock();
        let is_cut = inner.cuts.contains(&direction(route));
        let lost = inner.rng.random_bool(route.loss_percent / 100.0);
        let delay = inner.random_delay(route);
        let counts = inner.counts.entry(direction(route)).or_default();
        counts.udp_bytes += baobab_unit::to_u64(size_bytes) + 28;
        if is_cut || lost {
            counts.lost += 1;
            return None;
        }
        Some(delay)
    }

    /// Counts a TCP segment and returns its random delay.
    pub(super) fn segment_delay(
        &self,
        route: &RouteConf,
        forward: bool,
        size_bytes: usize,
    ) -> Duration {
        let mut inner = self.lock();
        let (from, to) = direction(route);
        let key = if forward { (from, to) } else { (to, from) };
        inner.counts.entry(key).or_default().tcp_bytes += baobab_unit::to_u64(size_bytes);
        let delay = inner.random_delay(route);
        if inner.rng.random_bool(route.loss_percent / 100.0) {
            delay + route.retransmit
        } else {
            delay
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn random_delay(&mut self, route: &RouteConf) -> Duration {
        let fraction: f64 = self.rng.random();
        route.delay + route.jitter.mul_f64(fraction)
    }
}

fn direction(route: &RouteConf) -> Direction {
    (route.from_domain.clone(), route.to_domain.clone())
}
