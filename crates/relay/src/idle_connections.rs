//! Decides which idle connections to one server are kept, used and closed. Performs no I/O.

use {
    crate::{
        idle_limits::{IdleLimits, IdleTimes, MIN_IDLE_TIME},
        idle_timeout::ObservedIdleTimeout,
    },
    baobab_routing::RetrySafety,
    std::time::Duration,
    tokio::time::Instant,
};

/// Maximum idle time for [`ConnectionReuse::RecentlyUsed`].
const MAX_RECENT_IDLE_TIME: Duration = Duration::from_millis(1500);

/// Which pooled connections a request may use: the server may close an idle one at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Any idle connection, for requests that can be retried.
    AnyIdle,
    /// Only a recently used connection, for requests that must not run twice.
    RecentlyUsed,
    /// Only a new connection, for requests whose loss costs most.
    Never,
}

impl From<RetrySafety> for ConnectionReuse {
    fn from(retry_safety: RetrySafety) -> Self {
        match retry_safety {
            RetrySafety::Idempotent | RetrySafety::ResumableStream => Self::AnyIdle,
            RetrySafety::Stream => Self::RecentlyUsed,
            RetrySafety::Once => Self::Never,
        }
    }
}

impl ConnectionReuse {
    fn max_idle_time(self) -> Duration {
        match self {
            Self::AnyIdle => Duration::MAX,
            Self::RecentlyUsed => MAX_RECENT_IDLE_TIME,
            Self::Never => Duration::ZERO,
        }
    }
}

/// A connection that can be idle.
pub trait Idle {
    /// Whether either side has closed it.
    fn is_closed(&self) -> bool;
    /// Returns the time since it was last used, or from then until it was closed.
    fn idle_for(&self) -> Duration;
}

/// Bounds on the idle connections to one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleBounds {
    /// Maximum number of idle connections.
    pub max_idle: usize,
    /// Maximum number of those that are kept for longer than [`MIN_IDLE_TIME`].
    pub max_long_idle: usize,
}

#[derive(Debug)]
struct Entry<C> {
    connection: C,
    /// Idle timeout that the server announced for the connection.
    announced: Option<Duration>,
    /// Whether it is kept for [`MIN_IDLE_TIME`] at most.
    is_short: bool,
}

/// The idle connections to one server, the most recently used last.
#[derive(Debug)]
pub struct IdleConnections<C> {
    entries: Vec<Entry<C>>,
    limits: IdleLimits,
    idle_timeout: ObservedIdleTimeout,
    max_long_idle: usize,
}

impl<C> Default for IdleConnections<C> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            limits: IdleLimits::default(),
            idle_timeout: ObservedIdleTimeout::default(),
            max_long_idle: 0,
        }
    }
}

impl<C: Idle> IdleConnections<C> {
    /// Returns the number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no idle connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds a connection whose exchange has ended, unless it can't be used again. If there are too many,
    /// the one that has been idle for longest is closed.
    pub fn put(
        &mut self,
        connection: C,
        announced: Option<Duration>,
        bounds: IdleBounds,
        now: Instant,
    ) {
        self.max_long_idle = bounds.max_long_idle;
        let is_usable = !self.limits.times(announced, now).use_within.is_zero();
        if !is_usable || connection.is_closed() {
            return;
        }
        self.entries.push(Entry {
            connection,
            announced,
            is_short: false,
        });
        let excess = self.entries.len().saturating_sub(bounds.max_idle);
        self.entries.drain(..excess);
    }

    /// Whether a request may use one of the connections.
    #[must_use]
    pub fn has_usable(&self, reuse: ConnectionReuse, now: Instant) -> bool {
        self.entries
            .last()
            .is_some_and(|entry| self.is_usable(entry, reuse, now))
    }

    /// Removes and returns the most recently used connection, if a request may use it.
    pub fn take(&mut self, reuse: ConnectionReuse, now: Instant) -> Option<C> {
        if !self.has_usable(reuse, now) {
            return None;
        }
        self.entries.pop().map(|entry| entry.connection)
    }

    /// Removes and returns the first connection that may be used and that `matches`, with the idle
    /// timeout that the server announced.
    pub fn take_matching(
        &mut self,
        matches: impl Fn(&C) -> bool,
        now: Instant,
    ) -> Option<(C, Option<Duration>)> {
        let index = self.entries.iter().position(|entry| {
            matches(&entry.connection) && self.is_usable(entry, ConnectionReuse::AnyIdle, now)
        })?;
        let entry = self.entries.remove(index);
        Some((entry.connection, entry.announced))
    }

    /// Removes the connection that has been idle for longest. Returns whether there was one.
    pub fn remove_oldest(&mut self) -> bool {
        let has_any = !self.entries.is_empty();
        if has_any {
            self.entries.remove(0);
        }
        has_any
    }

    /// Removes all connections.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Removes closed and expired connections. Returns whether the server has closed one for another
    /// reason than its idle timeout, as a server that ends.
    pub fn remove_closed(&mut self, now: Instant) -> bool {
        let mut has_unexplained = false;
        let first_long = self.entries.len().saturating_sub(self.max_long_idle);
        let mut index = 0;
        let (limits, idle_timeout) = (&mut self.limits, &mut self.idle_timeout);
        self.entries.retain(|entry| {
            let idle_for = entry.connection.idle_for();
            let is_short = entry.is_short || index < first_long;
            index += 1;
            let is_expired = idle_for > keep_within(limits, entry.announced, is_short, now);
            let is_closed = entry.connection.is_closed();
            if !is_closed {
                idle_timeout.on_open(idle_for);
                limits.on_open(idle_for);
            } else if !is_expired && !limits.on_closed(idle_for, entry.announced, now) {
                has_unexplained |= !idle_timeout.on_closed(idle_for, now);
            }
            !is_closed && !is_expired
        });
        has_unexplained
    }

    /// Keeps the present connections for [`MIN_IDLE_TIME`] at most, because they may have gone silent or
    /// the server may accept no more.
    pub fn shorten(&mut self) {
        for entry in &mut self.entries {
            entry.is_short = true;
        }
    }

    /// Returns the idle times beyond [`MIN_IDLE_TIME`].
    pub fn long_idle_times(&self) -> impl Iterator<Item = Duration> {
        self.entries
            .iter()
            .map(|entry| entry.connection.idle_for())
            .filter(|idle_for| *idle_for > MIN_IDLE_TIME)
    }

    /// Removes connections that have been idle for at least `min_idle_time`.
    pub fn remove_idle_for(&mut self, min_idle_time: Duration) {
        self.entries
            .retain(|entry| entry.connection.idle_for() < min_idle_time);
    }

    /// Records that the server closed a connection in use that had been idle for `idle_for`. Returns
    /// whether its idle timeout explains that.
    pub fn on_closed_in_use(&mut self, idle_for: Duration, now: Instant) -> bool {
        self.idle_timeout.on_closed(idle_for, now)
    }

    /// Forgets what is known of the server's idle timeout, because it has started again.
    pub fn on_server_restarted(&mut self) {
        self.limits = IdleLimits::default();
        self.idle_timeout = ObservedIdleTimeout::default();
    }

    fn is_usable(&self, entry: &Entry<C>, reuse: ConnectionReuse, now: Instant) -> bool {
        let mut max_idle_time = self.limits.times(entry.announced, now).use_within;
        if entry.is_short {
            max_idle_time = max_idle_time.min(IdleTimes::short().use_within);
        }
        reuse != ConnectionReuse::Never
            && !entry.connection.is_closed()
            && entry.connection.idle_for() <= max_idle_time.min(reuse.max_idle_time())
    }
}

fn keep_within(
    limits: &IdleLimits,
    announced: Option<Duration>,
    is_short: bool,
    now: Instant,
) -> Duration {
    let keep_within = limits.times(announced, now).keep_within;
    if is_short {
        keep_within.min(IdleTimes::short().keep_within)
    } else {
        keep_within
    }
}

/// Returns the idle time from which connections are closed so that at most `max` of these remain, or none
/// if there are no more.
#[must_use]
pub fn excess_idle_time(mut idle_times: Vec<Duration>, max: usize) -> Option<Duration> {
    let excess = idle_times
        .len()
        .checked_sub(max)
        .filter(|excess| *excess > 0)?;
    idle_times.sort_unstable_by(|left, right| right.cmp(left));
    idle_times.get(excess - 1).copied()
}
