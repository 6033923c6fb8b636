//! Which servers a request may go to, without regard to their load.

use {
    crate::{PlacementError, PlacementRequest, Placer, Server, ServerKey, VersionBound},
    std::time::Duration,
};

/// Whether a server can be chosen, without regard to its load.
enum Eligibility {
    Healthy,
    /// Its requests failed a moment ago.
    Ejected,
    /// It is leaving or of another service or version, or was tried.
    Excluded,
    /// It is in an evacuated failure domain.
    Evacuated,
    /// It wants no request for some time.
    Unavailable(Duration, PlacementError),
}

impl Placer {
    /// Returns the untried servers that are neither ejected, backing off nor in an evacuated domain, and whose limits may leave
    /// a request, or those that are only ejected if there are no others.
    pub(crate) fn eligible_servers(
        &self,
        request: &PlacementRequest,
        now: Duration,
    ) -> Result<Vec<&Server>, PlacementError> {
        let mut unavailable: Option<(Duration, PlacementError)> = None;
        let mut healthy: Vec<&Server> = Vec::new();
        let mut ejected: Vec<&Server> = Vec::new();
        let mut is_evacuated = false;
        for server in self.registry.usable(request.service) {
            match self.eligibility(request, server, now) {
                Eligibility::Healthy => healthy.push(server),
                Eligibility::Ejected => ejected.push(server),
                Eligibility::Excluded => {}
                Eligibility::Evacuated => is_evacuated = true,
                Eligibility::Unavailable(wait, error) => {
                    if unavailable.is_none_or(|(min, _)| wait < min) {
                        unavailable = Some((wait, error));
                    }
                }
            }
        }
        if !healthy.is_empty() {
            return Ok(healthy);
        }
        if !ejected.is_empty() {
            return Ok(ejected);
        }
        let none = if is_evacuated {
            PlacementError::Evacuated
        } else {
            PlacementError::NoServer
        };
        Err(unavailable.map_or(none, |(_, error)| error))
    }

    /// Returns the servers of a sample that are still eligible, or those that are only ejected if there are no
    /// others.
    pub(crate) fn sampled_servers(
        &self,
        request: &PlacementRequest,
        sample: &[ServerKey],
        now: Duration,
    ) -> Vec<&Server> {
        let mut healthy = Vec::with_capacity(sample.len());
        let mut ejected = Vec::new();
        for server in sample.iter().filter_map(|key| self.registry.get(*key)) {
            match self.eligibility(request, server, now) {
                Eligibility::Healthy => healthy.push(server),
                Eligibility::Ejected => ejected.push(server),
                _ => {}
            }
        }
        if healthy.is_empty() { ejected } else { healthy }
    }

    /// Whether a server can be chosen without regard to its load.
    pub(crate) fn is_healthy(
        &self,
        request: &PlacementRequest,
        key: ServerKey,
        now: Duration,
    ) -> bool {
        self.registry.get(key).is_some_and(|server| {
            matches!(self.eligibility(request, server, now), Eligibility::Healthy)
        })
    }

    fn eligibility(
        &self,
        request: &PlacementRequest,
        server: &Server,
        now: Duration,
    ) -> Eligibility {
        self.count_examined(1);
        let is_usable = !server.is_leaving && server.service == request.service;
        let is_tried = request.tried.contains(&server.key);
        if !is_usable || is_tried || !request.versions.allows(&server.software_version) {
            return Eligibility::Excluded;
        }
        if self.availability.is_evacuated(&server.domain) {
            return Eligibility::Evacuated;
        }
        if let Some((wait, error)) = self.unavailability(request, server, now) {
            return Eligibility::Unavailable(wait, error);
        }
        let state = self.states.get(&server.key);
        if state.is_some_and(|state| state.health.is_ejected(now)) {
            Eligibility::Ejected
        } else {
            Eligibility::Healthy
        }
    }

    /// Returns for how long a server wants no further requests, and why.
    fn unavailability(
        &self,
        request: &PlacementRequest,
        server: &Server,
        now: Duration,
    ) -> Option<(Duration, PlacementError)> {
        let key = server.key;
        if let Some(backoff) = self.backoff(key, now) {
            return Some((backoff, PlacementError::BackingOff(backoff)));
        }
        // A stream does not go on at a server that may have started again as another version, unless that
        // shows that it has not.
        if matches!(request.versions, VersionBound::Only(_))
            && let Some(left) = self.doubt_left(key, now)
            && !self.may_ask(server, now)
        {
            return Some((left, PlacementError::Unverified(left)));
        }
        let wait = self.limits.wait(key, self.permit_priority(request), now);
        let is_left_out = !request.allows_limited && self.limits.is_limited(key);
        let wait = wait.or(is_left_out.then_some(Duration::ZERO))?;
        Some((wait, PlacementError::Limited(wait)))
    }
}
