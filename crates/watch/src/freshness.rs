//! Schedules the store's confirmations, so that only a few routers request them.

use {
    baobab_unit::millis,
    std::{
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        time::Duration,
    },
};

/// Age of the last confirmation at which the first router requests another.
const REFRESH_AGE: Duration = Duration::from_secs(1);
/// Additional delay per preceding router. A confirmation is published to the other routers within
/// it.
const DELAY_PER_PRECEDING_ROUTER: Duration = Duration::from_millis(250);
/// Maximum number of preceding routers that add delay; all routers with that many or more request
/// confirmations together.
const MAX_PRECEDING_ROUTERS: u32 = 6;

/// Time allowed for this router's own follower to deliver a version that another router knows,
/// before a confirmation is requested separately. The follower's batch delay is shorter.
const DELIVERY_GRACE: Duration = Duration::from_millis(800);
/// Value of `behind_since_ms` while no newer version is known.
const NOT_BEHIND: u64 = u64::MAX;

/// This router's view of the newest confirmation, from the store or from another router.
#[derive(Debug)]
pub struct Freshness {
    confirmed_ms: AtomicU64,
    newest_version: AtomicU64,
    /// Time since which another router is known to have a newer version, on the suspension clock.
    behind_since_ms: AtomicU64,
    is_unreachable: AtomicBool,
}

impl Default for Freshness {
    fn default() -> Self {
        Self {
            confirmed_ms: AtomicU64::new(0),
            newest_version: AtomicU64::new(0),
            behind_since_ms: AtomicU64::new(NOT_BEHIND),
            is_unreachable: AtomicBool::new(false),
        }
    }
}

impl Freshness {
    /// Records a confirmation of `version` as of a time on the suspension clock.
    pub fn on_confirmed(&self, version: u64, as_of: Duration) {
        self.confirmed_ms
            .fetch_max(millis(as_of), Ordering::Relaxed);
        self.on_peer_version(version);
    }

    /// Records a version that another router knows.
    pub fn on_peer_version(&self, version: u64) {
        self.newest_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Records whether the store is unreachable; the follower then retries anyway, and no
    /// confirmation is due.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.is_unreachable.store(is_unreachable, Ordering::Relaxed);
    }

    /// Returns whether a router that this many routers precede has to request a confirmation now.
    /// `known_version` is the version that it has, 0 if none, which the follower waits for anyway;
    /// `now` is on the suspension clock.
    #[must_use]
    pub fn is_due(&self, preceding_routers: u32, known_version: u64, now: Duration) -> bool {
        if self.is_unreachable.load(Ordering::Relaxed) {
            return false;
        }
        if self.is_behind_too_long(known_version, now) {
            return true;
        }
        if known_version == 0 {
            return false;
        }
        let confirmed = Duration::from_millis(self.confirmed_ms.load(Ordering::Relaxed));
        let age = now.saturating_sub(confirmed);
        age >= REFRESH_AGE
            + DELAY_PER_PRECEDING_ROUTER * preceding_routers.min(MAX_PRECEDING_ROUTERS)
    }

    fn is_behind_too_long(&self, known_version: u64, now: Duration) -> bool {
        if self.newest_version.load(Ordering::Relaxed) <= known_version {
            self.behind_since_ms.store(NOT_BEHIND, Ordering::Relaxed);
            return false;
        }
        let now_ms = millis(now);
        let since_ms = self.behind_since_ms.fetch_min(now_ms, Ordering::Relaxed);
        now_ms.saturating_sub(since_ms.min(now_ms)) >= millis(DELIVERY_GRACE)
    }
}
