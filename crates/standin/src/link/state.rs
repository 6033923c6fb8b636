//! Cuts in force, drawn delays and losses, and counted bytes.

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

/// A direction between two failure domains.
type Direction = (String, String);

/// What went through a direction.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LinkCounts {
    /// Bytes of datagrams, with 28 bytes of headers each.
    pub udp_bytes: u64,
    /// Bytes of connections.
    pub tcp_bytes: u64,
    /// Datagrams lost.
    pub lost: u64,
}

#[derive(Debug)]
struct Inner {
    random: ChaCha8Rng,
    cut: BTreeSet<Direction>,
    counts: BTreeMap<Direction, LinkCounts>,
}

/// State that all routes share.
#[derive(Debug)]
pub struct LinkState {
    inner: Mutex<Inner>,
}

impl LinkState {
    /// Starts without a cut.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Mutex::new(Inner {
                random: ChaCha8Rng::seed_from_u64(seed),
                cut: BTreeSet::new(),
                counts: BTreeMap::new(),
            }),
        }
    }

    /// Cuts a direction.
    pub fn cut(&self, from: &str, to: &str) {
        self.lock().cut.insert((from.to_owned(), to.to_owned()));
    }

    /// Heals every cut.
    pub fn heal(&self) {
        self.lock().cut.clear();
    }

    /// Returns what went through, by sender's and receiver's domain.
    #[must_use]
    pub fn counts(&self) -> Vec<(String, String, LinkCounts)> {
        self.lock()
            .counts
            .iter()
            .map(|((from, to), counts)| (from.clone(), to.clone(), counts.clone()))
            .collect()
    }

    /// Tells whether nothing passes along a route.
    pub(super) fn is_cut(&self, from: &str, to: &str) -> bool {
        self.lock().cut.contains(&(from.to_owned(), to.to_owned()))
    }

    /// Counts a datagram and draws its delay; `None` means that it is lost.
    pub(super) fn datagram(&self, route: &RouteConf, size_bytes: usize) -> Option<Duration> {
        let mut inner = self.lock();
        let is_cut = inner.cut.contains(&direction(route));
        let lost = inner.random.random_bool(route.loss_percent / 100.0);
        let delay = inner.draw_delay(route);
        let counts = inner.counts.entry(direction(route)).or_default();
        counts.udp_bytes += baobab_unit::to_u64(size_bytes) + 28;
        if is_cut || lost {
            counts.lost += 1;
            return None;
        }
        Some(delay)
    }

    /// Counts a TCP segment and draws its delay.
    pub(super) fn segment(&self, route: &RouteConf, forward: bool, size_bytes: usize) -> Duration {
        let mut inner = self.lock();
        let (from, to) = direction(route);
        let key = if forward { (from, to) } else { (to, from) };
        inner.counts.entry(key).or_default().tcp_bytes += baobab_unit::to_u64(size_bytes);
        let delay = inner.draw_delay(route);
        if inner.random.random_bool(route.loss_percent / 100.0) {
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
    fn draw_delay(&mut self, route: &RouteConf) -> Duration {
        let part: f64 = self.random.random();
        route.delay + route.jitter.mul_f64(part)
    }
}

fn direction(route: &RouteConf) -> Direction {
    (route.from_domain.clone(), route.to_domain.clone())
}
