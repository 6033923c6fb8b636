//! Evidence that a version was the newest one at some moment.

use {crate::ConfigurationVersion, std::time::Duration};

/// The store said that `version` was the newest one as of `as_of`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// The confirmed version.
    pub version: ConfigurationVersion,
    /// Earliest moment at which the store can have looked, on a clock that counts suspension.
    pub as_of: Duration,
    /// The same on the store's clock, by which other routers date it.
    pub store_time: Duration,
}
