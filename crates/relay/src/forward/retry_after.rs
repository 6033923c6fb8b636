//! When a refused caller is asked to come back.
//!
//! Answers a burst that is refused within a moment: if all came back at the same time, they would
//! be refused together again. Returns are spread over the time that callers are willing to wait.

use std::time::Duration;

/// Part of the time that is left within which callers come back at all.
const WILLING_SHARE: f64 = 1.0 / 3.0;
/// Soonest return: a round trip between failure domains.
const SOONEST: Duration = Duration::from_millis(50);

/// How much stands in the way of a refused request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Load {
    /// Servers are busy, the workspace is within its share.
    Busy {
        /// When room is expected.
        room_in: Duration,
    },
    /// The workspace has used its share.
    OverShare,
    /// The obstacle passes within this time.
    Passing(Duration),
}

/// Returns when to come back; `draw` is a random fraction that spreads the returns.
#[must_use]
pub fn retry_after(load: Load, time_left: Duration, draw: f64) -> Duration {
    let willing = time_left.mul_f64(WILLING_SHARE * 0.97);
    let wanted = match load {
        Load::Busy { room_in } => room_in + willing.mul_f64(0.5 + 0.5 * draw),
        Load::OverShare => willing.mul_f64(0.5 + 0.5 * draw),
        Load::Passing(time) => time.mul_f64(1.0 + draw),
    };
    wanted.min(willing).max(SOONEST)
}
