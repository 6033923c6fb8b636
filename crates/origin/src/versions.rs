//! The versions of each service that may have begun a stream.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

/// Name of a service.
pub type ServiceName = String;
/// Version of the software of a server, as it announces it. Versions have no order.
pub type SoftwareVersion = String;

/// A software version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VersionOf {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: SoftwareVersion,
}

/// Recorded and announced versions.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    /// Recorded in the store, with the time at which each was announced last.
    recorded: BTreeMap<VersionOf, Duration>,
    announced: BTreeSet<VersionOf>,
}

impl Versions {
    /// Sets which versions are announced.
    pub(crate) fn set_announced(&mut self, announced: BTreeSet<VersionOf>, now: Duration) {
        for (version, announced_at) in &mut self.recorded {
            if announced.contains(version) {
                *announced_at = now;
            }
        }
        self.announced = announced;
    }

    /// Adds a version that is recorded in the store.
    pub(crate) fn on_recorded(&mut self, version: VersionOf, now: Duration) {
        self.recorded.entry(version).or_insert(now);
    }

    /// Replaces the recorded versions by those that the owner of the streams tells.
    pub(crate) fn replace_recorded(&mut self, recorded: Vec<VersionOf>, now: Duration) {
        let old = std::mem::take(&mut self.recorded);
        for version in recorded {
            let at = old.get(&version).copied().unwrap_or(now);
            self.recorded.insert(version, at);
        }
    }

    /// Removes a version whose row is removed.
    pub(crate) fn on_removed(&mut self, version: &VersionOf) {
        self.recorded.remove(version);
    }

    /// Returns the recorded versions.
    pub(crate) fn recorded(&self) -> Vec<VersionOf> {
        self.recorded.keys().cloned().collect()
    }

    /// Returns the announced versions that are not recorded.
    pub(crate) fn unrecorded(&self) -> Vec<VersionOf> {
        self.announced
            .iter()
            .filter(|version| !self.recorded.contains_key(version))
            .cloned()
            .collect()
    }

    /// Returns the recorded versions that were not announced for `retention`.
    pub(crate) fn outdated(&self, retention: Duration, now: Duration) -> Vec<VersionOf> {
        self.recorded
            .iter()
            .filter(|(version, announced_at)| {
                !self.announced.contains(version) && now.saturating_sub(**announced_at) > retention
            })
            .map(|(version, _)| version.clone())
            .collect()
    }

    /// Returns the version that began all streams of a service, if only one can have begun any.
    pub(crate) fn sole(&self, service: &str) -> Option<&VersionOf> {
        let mut of_service = self.recorded_of(service);
        let first = of_service.next()?;
        of_service.next().is_none().then_some(first)
    }

    /// Whether more than one version of a service is recorded or announced.
    pub(crate) fn has_several(&self, service: &str) -> bool {
        let known: BTreeSet<&VersionOf> = self
            .recorded_of(service)
            .chain(self.announced_of(service))
            .collect();
        known.len() > 1
    }

    /// Returns the services of which more than one version is recorded or announced.
    pub(crate) fn services_with_several(&self) -> BTreeSet<ServiceName> {
        self.recorded
            .keys()
            .chain(&self.announced)
            .filter(|of| self.has_several(&of.service))
            .map(|of| of.service.clone())
            .collect()
    }

    /// Returns the versions of a service that may begin streams: the announced ones that are recorded.
    /// If none of them is recorded, all are.
    pub(crate) fn beginning(&self, service: &str) -> Vec<SoftwareVersion> {
        let names = |is_any: bool| -> Vec<SoftwareVersion> {
            self.announced_of(service)
                .filter(|of| is_any || self.recorded.contains_key(of))
                .map(|of| of.version.clone())
                .collect()
        };
        let recorded = names(false);
        if recorded.is_empty() {
            names(true)
        } else {
            recorded
        }
    }

    /// Returns the number of announced versions of a service.
    pub(crate) fn announced_count(&self, service: &str) -> usize {
        self.announced_of(service).count()
    }

    fn recorded_of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a VersionOf> {
        self.recorded
            .keys()
            .filter(move |version| version.service == service)
    }

    fn announced_of<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a VersionOf> {
        self.announced
            .iter()
            .filter(move |version| version.service == service)
    }
}
