//! Availability of all servers, as far as this router knows it.

use {
    crate::{
        ColdBounds, ColdChange, ColdService, DomainChange, Evidence, ServerKey, ServerRun,
        evacuation::Evacuation, rate::ramp_per_s, server::ServerState,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How an announcement was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingKind {
    /// The server has just written it.
    Change,
    /// It is part of a list, and may be some time old.
    Listing,
}

/// Which servers are cold, and which failure domains are evacuated.
#[derive(Debug, Default)]
pub struct Availability {
    services: BTreeMap<String, ColdService>,
    bounds: ColdBounds,
    servers: BTreeMap<ServerKey, ServerState>,
    evacuation: Evacuation,
}

impl Availability {
    /// Sets the services whose servers have a cold phase. Those without a duration or rate have none.
    pub fn set_services(&mut self, services: impl IntoIterator<Item = (String, ColdService)>) {
        let has_cold_phase =
            |service: &ColdService| !service.cold_start.is_zero() && service.per_s > 0.0;
        self.services = services
            .into_iter()
            .filter(|(_, service)| has_cold_phase(service))
            .collect();
    }

    /// Sets the bound on the requests to a cold server.
    pub fn set_bounds(&mut self, bounds: ColdBounds) {
        self.bounds = bounds;
    }

    /// Applies a server's announcement.
    pub fn on_announced(&mut self, run: ServerRun, kind: ListingKind, now: Duration) {
        match self.servers.get_mut(&run.key) {
            Some(state) => state.on_announced(run, kind, now),
            None => {
                self.servers.insert(run.key, ServerState::new(run, now));
            }
        }
    }

    /// Records that a server has closed the connection of a request or refused one, here or at another
    /// router. It is presumed cold from its return.
    pub fn on_crash(&mut self, server: ServerKey, now: Duration) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.on_crash(now);
        }
    }

    /// Records that a server has answered a request that was sent at `sent_at`.
    pub fn on_answer(&mut self, server: ServerKey, sent_at: Duration, now: Duration) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.on_answer(sent_at, now);
        }
    }

    /// Records that a server has shown, asked at `asked_at`, that it is the run that was announced.
    pub fn on_run_shown(&mut self, server: ServerKey, asked_at: Duration) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.on_run_shown(asked_at);
        }
    }

    /// Records that another router takes a server for cold.
    pub fn on_told(&mut self, server: ServerKey, now: Duration) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.on_told(now);
        }
    }

    /// Replaces the evacuated domains. Returns the changes.
    pub fn set_evacuated(&mut self, domains: BTreeSet<String>, now: Duration) -> Vec<DomainChange> {
        self.evacuation.replace(domains, now)
    }

    /// Returns whether a domain is evacuated.
    #[must_use]
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuation.is_evacuated(domain)
    }

    /// Returns the number of evacuated domains.
    #[must_use]
    pub fn evacuated_domains(&self) -> usize {
        self.evacuation.count()
    }

    /// Returns whether the servers of a service have a cold phase.
    #[must_use]
    pub fn has_cold_phase(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns why a server is cold, if it is.
    #[must_use]
    pub fn evidence(&self, server: ServerKey, now: Duration) -> Option<Evidence> {
        self.evidence_of(self.servers.get(&server)?, now)
    }

    /// Returns the number of cold servers.
    #[must_use]
    pub fn cold_servers(&self, now: Duration) -> usize {
        let is_cold = |state: &&ServerState| self.evidence_of(state, now).is_some();
        self.servers.values().filter(is_cold).count()
    }

    /// Returns the rate of requests from all routers to a cold server.
    #[must_use]
    pub fn cold_per_s(&self, server: ServerKey, now: Duration) -> Option<f64> {
        let state = self.servers.get(&server)?;
        self.evidence_of(state, now)?;
        let service = self.services.get(&state.run.service)?;
        Some(self.bounds.permits_per_s(*service))
    }

    /// Returns the rate of requests from all routers to a server without a cold phase whose domain has
    /// just returned to service.
    #[must_use]
    pub fn ramp_per_s(&self, server: ServerKey, now: Duration) -> Option<f64> {
        let run = &self.servers.get(&server)?.run;
        if self.has_cold_phase(&run.service) {
            return None;
        }
        let since_return = self.evacuation.since_return(&run.domain, now)?;
        ramp_per_s(run.slots, since_return)
    }

    /// Returns the servers that have become cold or warm since the last call.
    pub fn take_changes(&mut self, now: Duration) -> Vec<ColdChange> {
        let current: Vec<(ServerKey, Option<Evidence>)> = self
            .servers
            .iter()
            .map(|(key, state)| (*key, self.evidence_of(state, now)))
            .collect();
        let mut changes = Vec::new();
        for (server, evidence) in current {
            if let Some(state) = self.servers.get_mut(&server)
                && state.reported.is_some() != evidence.is_some()
            {
                state.reported = evidence;
                changes.push(ColdChange { server, evidence });
            }
        }
        changes
    }

    /// Forgets the servers that are not `known`.
    pub fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.servers.retain(|server, _| is_known(*server));
    }

    fn evidence_of(&self, state: &ServerState, now: Duration) -> Option<Evidence> {
        let service = self.services.get(&state.run.service)?;
        let since_return = self.evacuation.since_return(&state.run.domain, now);
        state.evidence(*service, since_return, now)
    }
}
