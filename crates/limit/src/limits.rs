//! What a router knows of the servers' limits.

use {
    crate::{
        LimitChange, LimitPerS, Notice,
        bucket::{Bucket, PermitRate},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Key of a backend server, the same on every router.
pub type ServerKey = u32;

/// Lowest rate of permits, whatever the limit. Only an answer shows that a limit has ended.
const MIN_RATE_PER_S: f64 = 0.2;
/// Lowest part of a limit that is given out, so that the time to the next permit stays finite.
const MIN_FLEET_SHARE: f64 = 0.001;
/// Part of the permits that can add up which smaller requests must leave.
const SMALL_RESERVE: f64 = 0.25;
/// Part of the permits that can add up which requests beyond a workspace's share must leave.
const SPARE_RESERVE: f64 = 0.5;
/// Time for which a question that follows a refusal keeps the other requests of a router from asking.
const QUESTION_TIME: Duration = Duration::from_millis(30);
/// Maximum time for which a refused router does not ask again.
const MAX_REFUSAL: Duration = Duration::from_secs(5);

/// Precedence of a request for a permit, the first one first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Within the workspace's share, with a prompt of at least the mean length. A limit counts requests,
    /// so each permit should serve as much as it can.
    Large,
    /// Within the workspace's share, with a shorter prompt.
    Small,
    /// Beyond the workspace's share, or late: gets what others leave.
    Spare,
}

impl Priority {
    /// All priorities, the first one first.
    pub const ALL: [Self; 3] = [Self::Large, Self::Small, Self::Spare];

    fn reserve(self) -> f64 {
        match self {
            Self::Large => 0.0,
            Self::Small => SMALL_RESERVE,
            Self::Spare => SPARE_RESERVE,
        }
    }
}

#[derive(Debug, Default)]
struct ServerLimit {
    notice: Notice,
    /// Rate of requests because the server is cold.
    cold_per_s: Option<LimitPerS>,
    /// Rate of requests because the server's domain has returned to service.
    ramp_per_s: Option<LimitPerS>,
    is_reported: bool,
    bucket: Option<Bucket>,
    /// Times before which the owner has no permit for this router, by priority.
    refused_until: [Option<Duration>; Priority::ALL.len()],
}

impl ServerLimit {
    /// Returns the lowest of the limits that hold.
    fn limit_per_s(&self) -> Option<LimitPerS> {
        let limits = [self.notice.limit_per_s, self.cold_per_s, self.ramp_per_s];
        limits.into_iter().flatten().reduce(LimitPerS::min)
    }

    /// Forgets earlier refusals, and the permits once no limit holds.
    fn on_changed(&mut self) {
        self.refused_until = [None; Priority::ALL.len()];
        if self.limit_per_s().is_none() {
            self.bucket = None;
        }
    }
}

/// The limits of all servers, as far as this router knows them.
#[derive(Debug, Default)]
pub struct Limits(BTreeMap<ServerKey, ServerLimit>);

impl Limits {
    /// Records what a server has said in a response to this router. Returns the change, if it says
    /// something new.
    pub fn on_response(
        &mut self,
        server: ServerKey,
        limit_per_s: Option<LimitPerS>,
    ) -> Option<LimitChange> {
        let known = self.notice(server);
        if known.limit_per_s == limit_per_s {
            return None;
        }
        let notice = Notice {
            version: known.version.saturating_add(1),
            limit_per_s,
        };
        Some(self.set(server, notice))
    }

    /// Applies another router's notice. Returns the change, if it replaces what is known here.
    pub fn on_notice(&mut self, server: ServerKey, notice: Notice) -> Option<LimitChange> {
        let known = self.notice(server);
        if !notice.replaces(known) {
            return None;
        }
        let change = self.set(server, notice);
        (change.from_per_s != change.to_per_s).then_some(change)
    }

    /// Records that a server has restarted: its former run's limit has ended.
    pub fn on_restart(&mut self, server: ServerKey) -> Option<LimitChange> {
        self.on_response(server, None)
    }

    /// Returns what is known of a server's limit.
    #[must_use]
    pub fn notice(&self, server: ServerKey) -> Notice {
        self.0
            .get(&server)
            .map(|known| known.notice)
            .unwrap_or_default()
    }

    /// Sets the rate of requests to a server while it is cold, or none once it is warm. When it begins, no
    /// permits are given out for a moment.
    pub fn set_cold(&mut self, server: ServerKey, per_s: Option<LimitPerS>, now: Duration) {
        if per_s.is_none() && !self.0.contains_key(&server) {
            return;
        }
        let known = self.0.entry(server).or_default();
        if known.cold_per_s == per_s {
            return;
        }
        if known.cold_per_s.is_none() {
            known.bucket = Some(Bucket::new_cold(now));
        }
        known.cold_per_s = per_s;
        known.on_changed();
    }

    /// Sets the rate of requests to a server whose domain has returned to service, or none.
    pub fn set_ramp(&mut self, server: ServerKey, per_s: Option<LimitPerS>) {
        if per_s.is_none() && !self.0.contains_key(&server) {
            return;
        }
        let known = self.0.entry(server).or_default();
        if known.ramp_per_s != per_s {
            known.ramp_per_s = per_s;
            known.on_changed();
        }
    }

    /// Returns whether a server is cold.
    #[must_use]
    pub fn is_cold(&self, server: ServerKey) -> bool {
        self.0
            .get(&server)
            .is_some_and(|known| known.cold_per_s.is_some())
    }

    /// Returns the lowest limit that holds for a server: its own, or that of a cold server.
    #[must_use]
    pub fn limit_per_s(&self, server: ServerKey) -> Option<LimitPerS> {
        self.0.get(&server)?.limit_per_s()
    }

    /// Returns whether a request to the server needs a permit.
    #[must_use]
    pub fn is_limited(&self, server: ServerKey) -> bool {
        self.limit_per_s(server).is_some()
    }

    /// Returns the number of servers that have named a limit.
    #[must_use]
    pub fn limited(&self) -> usize {
        let has_limit = |known: &&ServerLimit| known.notice.limit_per_s.is_some();
        self.0.values().filter(has_limit).count()
    }

    /// Returns the notices to report: all, or those changed since the last call.
    pub fn take_notices(&mut self, all: bool) -> Vec<(ServerKey, Notice)> {
        let mut notices = Vec::new();
        for (&server, known) in &mut self.0 {
            // Servers that never named a limit have entries only because they are cold.
            let is_named = known.notice.version > 0;
            if is_named && (all || !known.is_reported) {
                notices.push((server, known.notice));
            }
            known.is_reported = true;
        }
        notices
    }

    /// Takes a permit to send one request to a server that this router owns. `fleet_share` is the
    /// part of the fleet's routers that this one reaches; the others may own the server too.
    ///
    /// # Errors
    ///
    /// Returns the time until there may be a permit.
    pub fn take_permit(
        &mut self,
        server: ServerKey,
        priority: Priority,
        fleet_share: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let Some(known) = self.0.get_mut(&server) else {
            return Ok(());
        };
        let Some(limit_per_s) = known.limit_per_s() else {
            return Ok(());
        };
        let rate = PermitRate {
            per_s: limit_per_s.max(MIN_RATE_PER_S) * fleet_share.max(MIN_FLEET_SHARE),
            is_cold: known.cold_per_s.is_some(),
        };
        let bucket = known.bucket.get_or_insert_with(|| Bucket::new(now));
        bucket.take(rate, priority.reserve(), now)
    }

    /// Records that there is no permit for requests of this priority for some time. Returns whether it is
    /// the first refusal since there was one.
    pub fn on_refused(
        &mut self,
        server: ServerKey,
        priority: Priority,
        wait: Duration,
        now: Duration,
    ) -> bool {
        let Some(known) = self.0.get_mut(&server) else {
            return false;
        };
        let is_first = known.refused_until[priority as usize].is_none();
        let until = Some(now + wait.min(MAX_REFUSAL));
        known.refused_until[priority as usize] = until;
        for later in &mut known.refused_until[priority as usize + 1..] {
            *later = until.max(*later);
        }
        is_first
    }

    /// Records that the owner is asked for a permit. Until it answers, this router's other requests
    /// do not ask if it has refused the last one.
    pub fn on_asked(&mut self, server: ServerKey, priority: Priority, now: Duration) {
        if let Some(known) = self.0.get_mut(&server)
            && let Some(until) = &mut known.refused_until[priority as usize]
        {
            *until = now + QUESTION_TIME;
        }
    }

    /// Records that the owner has given a permit.
    pub fn on_granted(&mut self, server: ServerKey, priority: Priority) {
        if let Some(known) = self.0.get_mut(&server) {
            known.refused_until[priority as usize] = None;
        }
    }

    /// Returns the time until a request of this priority may get a permit, if it can't now.
    #[must_use]
    pub fn wait(&self, server: ServerKey, priority: Priority, now: Duration) -> Option<Duration> {
        let known = self.0.get(&server)?;
        known.limit_per_s()?;
        known.refused_until[priority as usize]?
            .checked_sub(now)
            .filter(|wait| !wait.is_zero())
    }

    /// Forgets the servers that are not `known`.
    pub fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.0.retain(|server, _| is_known(*server));
    }

    fn set(&mut self, server: ServerKey, notice: Notice) -> LimitChange {
        let known = self.0.entry(server).or_default();
        let from_per_s = known.notice.limit_per_s;
        known.notice = notice;
        known.is_reported = false;
        known.on_changed();
        LimitChange {
            server,
            from_per_s,
            to_per_s: notice.limit_per_s,
            version: notice.version,
        }
    }
}
