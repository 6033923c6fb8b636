//! Times at which one crash was observed.

use {crate::ServerKey, std::time::Duration};

/// Maximum time between two observations of one crash of a server.
const CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Time within which crashes of several servers count as one.
const MIN_SPACING: Duration = Duration::from_millis(100);
/// Time after a crash from which an answer shows that the server is back. Answers may be on their way when
/// it crashes, and reports take time to arrive.
const MIN_DOWNTIME: Duration = Duration::from_millis(500);

/// First and last observation of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Span {
    pub(crate) first: Duration,
    pub(crate) last: Duration,
}

impl Span {
    /// Creates the span of a single observation.
    pub(crate) fn at(at: Duration) -> Self {
        Self {
            first: at,
            last: at,
        }
    }

    /// Returns whether observations of the same server in both spans belong to one crash.
    pub(crate) fn is_near(self, other: Self) -> bool {
        self.first <= other.last + CRASH_WINDOW && other.first <= self.last + CRASH_WINDOW
    }

    /// Returns whether a server that answered at `answered_at` was back from the crash.
    pub(crate) fn is_over_at(self, answered_at: Duration) -> bool {
        answered_at >= self.first + MIN_DOWNTIME
    }

    /// Returns the span of all observations in both.
    pub(crate) fn union(self, other: Self) -> Self {
        Self {
            first: self.first.min(other.first),
            last: self.last.max(other.last),
        }
    }
}

/// One crash of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ServerCrash {
    pub(crate) span: Span,
    pub(crate) server: ServerKey,
}

impl ServerCrash {
    /// Returns whether two observations belong to one crash.
    pub(crate) fn is_same(self, other: Self) -> bool {
        self.server == other.server && self.span.is_near(other.span)
    }

    /// Returns the crash with the observations of both.
    pub(crate) fn union(self, other: Self) -> Self {
        Self {
            span: self.span.union(other.span),
            server: self.server,
        }
    }
}

/// Returns the number of crashes at the given ascending times, with those less than
/// [`MIN_SPACING`] after a counted one left out.
pub(crate) fn count_spaced(times: impl Iterator<Item = Duration>) -> usize {
    let mut count = 0;
    let mut last_counted: Option<Duration> = None;
    for time in times {
        if last_counted.is_none_or(|last| time.saturating_sub(last) >= MIN_SPACING) {
            count += 1;
            last_counted = Some(time);
        }
    }
    count
}
