//! What a server last said of its limit.

/// Requests a second.
pub type LimitPerS = f64;

/// Number of the changes of a server's limit that led to a notice.
pub type NoticeVersion = u32;

/// The newest known statement of a server about its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// Raised by each router that finds the limit changed.
    pub version: NoticeVersion,
    /// The limit, or none if the server takes requests without one.
    pub limit_per_s: Option<LimitPerS>,
}

impl Notice {
    /// Returns whether this notice replaces another one. Of two notices that routers made at the same
    /// time, the lower limit holds on all of them.
    pub(crate) fn replaces(self, other: Self) -> bool {
        let order = self.version.cmp(&other.version);
        order.is_gt() || (order.is_eq() && self.bound_per_s() < other.bound_per_s())
    }

    fn bound_per_s(self) -> f64 {
        self.limit_per_s.unwrap_or(f64::INFINITY)
    }
}
