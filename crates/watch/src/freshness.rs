//! Who asks the store for a confirmation, so that few do.

use {
    baobab_unit::millis,
    std::{
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Age of the last confirmation at which the first router asks for another.
const FIRST_AGE: Duration = Duration::from_secs(1);
/// Time that each further router waits for those before it. A confirmation is told within it.
const RANK_DELAY: Duration = Duration::from_millis(250);
/// Ranks that are told apart; the routers behind them ask together.
const MOST_RANKS: u32 = 6;

/// Time in which the own feed tells of a version that another router knows; only then is the store
/// asked apart. The feed gathers changes for less.
const FEED_TIME: Duration = Duration::from_millis(800);
/// Not behind.
const NOT_BEHIND: u64 = u64::MAX;

/// What one router knows of the newest confirmation, from the store or from another router.
#[derive(Debug)]
pub struct Freshness {
    confirmed_ms: AtomicU64,
    newest_version: AtomicU64,
    /// Since when another router is known to have a newer version.
    behind_since_ms: AtomicU64,
    is_lost: AtomicBool,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            confirmed_ms: AtomicU64::new(0),
            newest_version: AtomicU64::new(0),
            behind_since_ms: AtomicU64::new(NOT_BEHIND),
            is_lost: AtomicBool::new(false),
        }
    }
}

impl Freshness {
    /// Notes a confirmation, dated on the suspension clock.
    pub fn on_confirmed(&self, version: u64, as_of: Duration) {
        self.confirmed_ms
            .fetch_max(millis(as_of), Ordering::Relaxed);
        self.on_peer_version(version);
    }

    /// Notes that another router knows a version.
    pub fn on_peer_version(&self, version: u64) {
        self.newest_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Notes whether the store is out of reach; then it is asked all the time.
    pub fn set_lost(&self, is_lost: bool) {
        self.is_lost.store(is_lost, Ordering::Relaxed);
    }

    /// Tells whether the router with this rank has to ask the store now. `known_version` is the
    /// version that it has.
    #[must_use]
    pub fn is_due(&self, rank: u32, known_version: u64, now: Duration) -> bool {
        if self.is_lost.load(Ordering::Relaxed) {
            return false;
        }
        if self.is_behind_for_long(known_version, now) {
            return true;
        }
        let confirmed = Duration::from_millis(self.confirmed_ms.load(Ordering::Relaxed));
        let age = now.saturating_sub(confirmed);
        age >= FIRST_AGE + RANK_DELAY * rank.min(MOST_RANKS)
    }

    fn is_behind_for_long(&self, known_version: u64, now: Duration) -> bool {
        if self.newest_version.load(Ordering::Relaxed) <= known_version {
            self.behind_since_ms.store(NOT_BEHIND, Ordering::Relaxed);
            return false;
        }
        let now_ms = millis(now);
        let since_ms = self.behind_since_ms.fetch_min(now_ms, Ordering::Relaxed);
        now_ms.saturating_sub(since_ms.min(now_ms)) >= millis(FEED_TIME)
    }
}
