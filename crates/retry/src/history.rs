//! What a router has counted for its retry budgets, as another run of it or another router keeps it.

use std::time::Duration;

/// Identifier of a service, derived from its name.
pub type ServiceId = u32;

/// Requests and retries of a short period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Period {
    /// How long ago it began.
    pub age: Duration,
    /// Requests of callers.
    pub requests: u32,
    /// Retries of routers.
    pub retries: u32,
}

/// What a router has counted within the window, by service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RetryHistory {
    /// Services with their periods, oldest first.
    pub services: Vec<(ServiceId, Vec<Period>)>,
}

impl RetryHistory {
    /// Returns the same history, this much later.
    #[must_use]
    pub fn aged(mut self, by: Duration) -> Self {
        let periods = self.services.iter_mut().flat_map(|(_, periods)| periods);
        for period in periods {
            period.age += by;
        }
        self
    }
}
