//! Cold servers and evacuated failure domains among the announced servers.

use {
    crate::{Placer, Server, ServerKey},
    baobab_availability::{DomainChange, ListingKind, ServerRun},
    std::{collections::BTreeSet, time::Duration},
};

impl Placer {
    /// Applies an announcement to what is known of cold servers.
    pub fn on_run_announced(&mut self, server: &Server, kind: ListingKind, now: Duration) {
        let run = ServerRun {
            key: server.key,
            service: server.service.clone(),
            domain: server.domain.clone(),
            slots: server.slots,
            started_unix_ms: server.started_unix_ms,
            address: server.address,
            cold_remaining: server.warm_up,
        };
        self.availability.on_announced(run, kind, now);
        self.update_cold_limit(server.key, now);
    }

    /// Records that another router takes a server for cold.
    pub fn on_told_cold(&mut self, key: ServerKey, now: Duration) {
        self.availability.on_told(key, now);
        self.update_cold_limit(key, now);
    }

    /// Replaces the evacuated failure domains. Returns the changes.
    pub fn set_evacuated(&mut self, domains: BTreeSet<String>, now: Duration) -> Vec<DomainChange> {
        let changes = self.availability.set_evacuated(domains, now);
        self.update_cold_limits(now);
        changes
    }

    /// Updates the limits of all servers to whether they are cold at `now`.
    pub fn update_cold_limits(&mut self, now: Duration) {
        let keys: Vec<ServerKey> = self.registry.all().map(|server| server.key).collect();
        for key in keys {
            self.update_cold_limit(key, now);
        }
    }

    /// Records that a server has ended the connection of a request, so that it may have crashed.
    pub(crate) fn on_crash(&mut self, key: ServerKey, now: Duration) {
        self.availability.on_crash(key, now);
        self.update_cold_limit(key, now);
    }

    /// Returns whether a server is slow because it has just started. Where its service has a cold phase,
    /// the announced duration counts from the announcement.
    pub(crate) fn is_warming_up(&self, server: &Server) -> bool {
        if self.availability.has_cold_phase(&server.service) {
            self.limits.is_cold(server.key)
        } else {
            !server.warm_up.is_zero()
        }
    }

    fn update_cold_limit(&mut self, key: ServerKey, now: Duration) {
        let cold_per_s = self.availability.cold_per_s(key, now);
        self.limits.set_cold(key, cold_per_s, now);
        let ramp_per_s = self.availability.ramp_per_s(key, now);
        self.limits.set_ramp(key, ramp_per_s);
    }
}
