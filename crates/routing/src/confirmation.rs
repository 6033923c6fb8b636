//! The store's confirmations of the configuration version.

use {crate::ConfigurationVersion, std::time::Duration};

/// The store's statement that `version` was the newest one as of `as_of`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// The confirmed version.
    pub version: ConfigurationVersion,
    /// Earliest possible time of the statement, on this host's suspension clock.
    pub as_of: Duration,
    /// Time of the statement on the store's clock, from which other routers derive their `as_of`.
    pub store_time: Duration,
}
