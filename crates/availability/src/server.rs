//! What is known of one server.

use {
    crate::{ColdService, Evidence, ListingKind},
    std::{net::SocketAddr, time::Duration},
};

/// Key of a backend server, the same on every router.
pub type ServerKey = u32;

/// Time within which a server that has started again is announced.
const ANNOUNCEMENT_LAG: Duration = Duration::from_secs(3);
/// Time for which another router's belief that a server is cold holds here.
const TOLD_TIME: Duration = Duration::from_secs(2);

/// What a server announces of its run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRun {
    /// The server.
    pub key: ServerKey,
    /// Name of its service.
    pub service: String,
    /// Name of its failure domain.
    pub domain: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Start time in Unix milliseconds, if announced.
    pub started_unix_ms: Option<u64>,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Remaining time for which it is cold.
    pub cold_remaining: Duration,
}

impl ServerRun {
    fn is_same_start(&self, other: &Self) -> bool {
        self.started_unix_ms == other.started_unix_ms && self.address == other.address
    }

    /// Whether this is an outdated announcement, as a restored store lists it.
    fn is_before(&self, other: &Self) -> bool {
        matches!(
            (self.started_unix_ms, other.started_unix_ms),
            (Some(this), Some(other)) if this < other
        )
    }
}

#[derive(Debug, Clone, Copy)]
struct Crash {
    seen_at: Duration,
    /// When it first answered a request that was sent after the crash.
    returned_at: Option<Duration>,
}

#[derive(Debug)]
pub(crate) struct ServerState {
    pub(crate) run: ServerRun,
    announced_until: Duration,
    crash: Option<Crash>,
    told_until: Duration,
    /// What was last returned as a change.
    pub(crate) reported: Option<Evidence>,
}

impl ServerState {
    pub(crate) fn new(run: ServerRun, now: Duration) -> Self {
        Self {
            announced_until: now + run.cold_remaining,
            run,
            crash: None,
            told_until: Duration::ZERO,
            reported: None,
        }
    }

    /// Applies an announcement of a server that is already known.
    pub(crate) fn on_announced(&mut self, run: ServerRun, kind: ListingKind, now: Duration) {
        if run.is_before(&self.run) {
            return;
        }
        if !run.is_same_start(&self.run) {
            let reported = self.reported;
            *self = Self::new(run, now);
            self.reported = reported;
            return;
        }
        let until = now + run.cold_remaining;
        match kind {
            ListingKind::Change => {
                self.announced_until = until;
                self.on_same_start_announced(now);
            }
            // The row may be some time old, and one that is read again does not begin anew.
            ListingKind::Listing if run.cold_remaining != self.run.cold_remaining => {
                self.announced_until = self.announced_until.max(until);
            }
            ListingKind::Listing => {}
        }
        self.run = run;
    }

    /// A server that runs again for this long, and still announces its former start, has not crashed.
    fn on_same_start_announced(&mut self, now: Duration) {
        let returned_at = self.crash.and_then(|crash| crash.returned_at);
        if returned_at.is_some_and(|at| now >= at + ANNOUNCEMENT_LAG) {
            self.crash = None;
        }
    }

    pub(crate) fn on_crash(&mut self, now: Duration) {
        self.crash = Some(Crash {
            seen_at: now,
            returned_at: None,
        });
    }

    pub(crate) fn on_answer(&mut self, sent_at: Duration, now: Duration) {
        if let Some(crash) = &mut self.crash
            && sent_at >= crash.seen_at
        {
            crash.returned_at.get_or_insert(now);
        }
    }

    pub(crate) fn on_run_shown(&mut self, asked_at: Duration) {
        if self.crash.is_some_and(|crash| asked_at > crash.seen_at) {
            self.crash = None;
        }
    }

    pub(crate) fn on_told(&mut self, now: Duration) {
        self.told_until = now + TOLD_TIME;
    }

    /// Returns why the server is cold, if it is.
    pub(crate) fn evidence(
        &self,
        service: ColdService,
        since_domain_return: Option<Duration>,
        now: Duration,
    ) -> Option<Evidence> {
        let is_presumed = self.crash.is_some_and(|crash| {
            let returned_at = crash.returned_at;
            returned_at.is_none_or(|at| now < at + service.cold_start)
        });
        if now < self.announced_until {
            Some(Evidence::Announcement)
        } else if is_presumed {
            Some(Evidence::Crash)
        } else if since_domain_return.is_some_and(|since| since < service.cold_start) {
            Some(Evidence::DomainReturned)
        } else if now < self.told_until {
            Some(Evidence::PermitQuery)
        } else {
            None
        }
    }
}
