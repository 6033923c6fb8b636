//! Failure domains that operators have evacuated.

use {
    crate::DomainChange,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The evacuated domains, and those that have returned to service.
#[derive(Debug, Default)]
pub(crate) struct Evacuation {
    evacuated: BTreeSet<String>,
    /// When domains returned to service.
    returned_at: BTreeMap<String, Duration>,
}

impl Evacuation {
    /// Replaces the evacuated domains. Returns the changes.
    pub(crate) fn replace(
        &mut self,
        evacuated: BTreeSet<String>,
        now: Duration,
    ) -> Vec<DomainChange> {
        let change = |domain: &String, is_evacuated| DomainChange {
            domain: domain.clone(),
            is_evacuated,
        };
        let returned = self.evacuated.difference(&evacuated);
        let mut changes: Vec<DomainChange> = returned.map(|domain| change(domain, false)).collect();
        for returned in &changes {
            self.returned_at.insert(returned.domain.clone(), now);
        }
        let added = evacuated.difference(&self.evacuated);
        changes.extend(added.map(|domain| change(domain, true)));
        self.evacuated = evacuated;
        changes
    }

    /// Returns whether a domain is evacuated.
    pub(crate) fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
    }

    /// Returns for how long a domain has been back in service, if it was evacuated.
    pub(crate) fn since_return(&self, domain: &str, now: Duration) -> Option<Duration> {
        if self.is_evacuated(domain) {
            return None;
        }
        let returned_at = self.returned_at.get(domain)?;
        Some(now.saturating_sub(*returned_at))
    }

    /// Returns the number of evacuated domains.
    pub(crate) fn count(&self) -> usize {
        self.evacuated.len()
    }
}
