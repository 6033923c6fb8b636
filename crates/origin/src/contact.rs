//! Whether a router has kept up with the fleet.

use std::time::Duration;

/// Maximum time between two steps of a router that does not stand still. Changes of the store's tables
/// reach a router as late in calm.
const MAX_STEP: Duration = Duration::from_secs(1);

/// Whether a router keeps up with the fleet at a moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    InStep,
    /// It has stood still until now.
    StoodStill,
    /// It does not hear most other routers.
    CutOff,
}

/// Tells whether what a router knows of versions may be outdated, because it has been out of step.
/// Times are on a clock that continues while the host is suspended.
#[derive(Debug, Default)]
pub struct Contact {
    stepped_at: Option<Duration>,
    lost_at: Option<Duration>,
}

impl Contact {
    /// Records the present state; called at short intervals, and before a decision.
    pub fn step(&mut self, hears_fleet: bool, now: Duration) -> Standing {
        let has_stood_still = self
            .stepped_at
            .is_some_and(|at| now.saturating_sub(at) > MAX_STEP);
        self.stepped_at = Some(now);
        let standing = match (has_stood_still, hears_fleet) {
            (true, _) => Standing::StoodStill,
            (false, false) => Standing::CutOff,
            (false, true) => return Standing::InStep,
        };
        self.lost_at = Some(now);
        standing
    }

    /// Whether versions and doubts may have come that this router does not know before it reads the
    /// store.
    #[must_use]
    pub fn is_outdated(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Records that the rows of the store were read, by a call made at `requested_at`.
    pub fn on_rows(&mut self, requested_at: Duration) {
        if self.lost_at.is_some_and(|at| at <= requested_at) {
            self.lost_at = None;
        }
    }
}
