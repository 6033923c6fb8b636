//! For how long connections to one server are kept idle, and for how long they may be used.

use {std::time::Duration, tokio::time::Instant};

/// Connections may be idle for this long whatever is known of the server. The kernel's keepalive
/// probes detect a peer that is gone after about 2.5 s.
pub const MIN_IDLE_TIME: Duration = Duration::from_secs(2);
/// Maximum idle time. A router that sends a server a request every six seconds reuses its connection
/// for 99 of 100 requests.
const MAX_IDLE_TIME: Duration = Duration::from_secs(30);
/// Idle connections are not used within this time before the server's own idle timeout.
pub const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1200);
/// Time for which connections are kept first to find out whether a server without an announced
/// idle timeout keeps them open.
const MIN_KEPT_TIME: Duration = Duration::from_secs(5);
/// Time after which a server is given another chance to keep connections open for longer.
const CLOSURE_LIFETIME: Duration = Duration::from_mins(2);

/// Idle times of the connections to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdleTimes {
    /// A connection that has been idle for longer gets no request.
    pub use_within: Duration,
    /// A connection that has been idle for longer is closed.
    pub keep_within: Duration,
}

impl IdleTimes {
    /// Returns the idle times that apply whatever is known of the server.
    #[must_use]
    pub fn short() -> Self {
        Self {
            use_within: MIN_IDLE_TIME,
            keep_within: MIN_IDLE_TIME,
        }
    }
}

/// What is known of a server's idle timeout, if it does not announce one.
///
/// Connections are kept for longer than they are used, in growing steps. One that stays open shows
/// that the idle timeout is longer, without the risk that a request meets a connection that closes.
#[derive(Debug, Default)]
pub struct IdleLimits {
    /// Maximum idle time after which a connection was open.
    open_after: Duration,
    /// Idle time after which the server closed a connection that was kept, and when.
    closed_after: Option<(Duration, Instant)>,
}

impl IdleLimits {
    /// Records that a connection is open after having been idle for `idle_for`.
    pub fn on_open(&mut self, idle_for: Duration) {
        self.open_after = self.open_after.max(idle_for);
    }

    /// Records that the server closed a connection that had been idle for `idle_for`. Returns whether
    /// it was kept only to find out when the server closes it, so that the closure says nothing else.
    pub fn on_closed(
        &mut self,
        idle_for: Duration,
        announced: Option<Duration>,
        now: Instant,
    ) -> bool {
        if announced.is_some() || idle_for <= MIN_IDLE_TIME {
            return false;
        }
        let closed_after = self.closed_after.map_or(idle_for, |(time, _)| time);
        self.closed_after = Some((closed_after.min(idle_for), now));
        self.open_after = self.open_after.min(idle_for);
        true
    }

    /// Returns the idle times of a connection, for which the server announced this idle timeout.
    #[must_use]
    pub fn times(&self, announced: Option<Duration>, now: Instant) -> IdleTimes {
        if let Some(timeout) = announced {
            let time = before_timeout(timeout).min(MAX_IDLE_TIME);
            return IdleTimes {
                use_within: time,
                keep_within: time,
            };
        }
        let use_within = before_timeout(self.open_after).clamp(MIN_IDLE_TIME, MAX_IDLE_TIME);
        let max_kept = MAX_IDLE_TIME + IDLE_TIMEOUT_MARGIN;
        let keep_within = (2 * self.open_after).clamp(MIN_KEPT_TIME, max_kept);
        let closed_after = self
            .closed_after
            .filter(|(_, closed_at)| now.duration_since(*closed_at) < CLOSURE_LIFETIME);
        let Some((closed_after, _)) = closed_after else {
            return IdleTimes {
                use_within,
                keep_within,
            };
        };
        let time = before_timeout(closed_after).clamp(MIN_IDLE_TIME, MAX_IDLE_TIME);
        IdleTimes {
            use_within: use_within.min(time),
            keep_within: time,
        }
    }
}

fn before_timeout(timeout: Duration) -> Duration {
    timeout.saturating_sub(IDLE_TIMEOUT_MARGIN)
}
