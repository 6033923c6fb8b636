//! Membership of the fleet, from heartbeats and the platform's host list.

use {
    crate::rendezvous_score,
    baobab_unit::{DomainId, HostId, Incarnation, PoolId},
    std::{collections::BTreeMap, time::Duration},
};

/// Time without a heartbeat after which a host of the same failure domain counts as dead.
const SAME_DOMAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a heartbeat after which a host of another failure domain counts as dead.
const OTHER_DOMAIN_TIMEOUT: Duration = Duration::from_millis(4500);

/// A host of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// Identifier of the host.
    pub host: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    last_heartbeat: Option<Duration>,
    incarnation: Incarnation,
    draining: bool,
    leaving: bool,
}

impl Member {
    /// Creates a host without a heartbeat; it counts as dead until the first one.
    #[must_use]
    pub fn new(host: HostId, domain: DomainId) -> Self {
        Self {
            host,
            domain,
            last_heartbeat: None,
            incarnation: 0,
            draining: false,
            leaving: false,
        }
    }
}

/// This host's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    own: HostId,
    own_domain: DomainId,
    members: BTreeMap<HostId, Member>,
}

impl Membership {
    /// Starts with this host live and no heartbeat from any peer.
    #[must_use]
    pub fn start(own: Member, peers: impl IntoIterator<Item = Member>) -> Self {
        let mut members: BTreeMap<HostId, Member> = peers
            .into_iter()
            .map(|member| (member.host, member))
            .collect();
        members.insert(own.host, own);
        Self {
            own: own.host,
            own_domain: own.domain,
            members,
        }
    }

    /// Records a heartbeat. Returns whether it is the first of its incarnation: the host has
    /// started or restarted. Heartbeats of unknown hosts and of earlier incarnations are ignored.
    pub fn on_heartbeat(&mut self, now: Duration, host: HostId, incarnation: Incarnation) -> bool {
        let Some(member) = self.members.get_mut(&host) else {
            return false;
        };
        if incarnation < member.incarnation {
            return false;
        }
        let restarted = incarnation > member.incarnation;
        if restarted {
            member.draining = false;
        }
        member.incarnation = incarnation;
        member.last_heartbeat = Some(now);
        restarted
    }

    /// Records whether a host announces that it is about to stop.
    pub fn set_draining(&mut self, host: HostId, draining: bool) {
        if let Some(member) = self.members.get_mut(&host) {
            member.draining = draining;
        }
    }

    /// Records whether the platform's host list marks a host as leaving.
    pub fn set_leaving(&mut self, host: HostId, leaving: bool) {
        if let Some(member) = self.members.get_mut(&host) {
            member.leaving = leaving;
        }
    }

    /// Returns the live hosts, this one included, in order of their identifiers.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |member| self.is_live(now, member))
    }

    /// Returns the host that dispatches a pool: the one with the highest score among the live hosts
    /// of the pool's domain that are neither draining nor leaving, or among those of all domains if
    /// the pool's domain has none.
    #[must_use]
    pub fn dispatcher(&self, now: Duration, pool: PoolId, domain: DomainId) -> Option<HostId> {
        let is_eligible = |member: &&Member| !member.draining && !member.leaving;
        let top_scored = |same_domain: bool| {
            self.live(now)
                .filter(is_eligible)
                .filter(|member| !same_domain || member.domain == domain)
                .max_by_key(|member| rendezvous_score(pool, member.host))
                .map(|member| member.host)
        };
        top_scored(true).or_else(|| top_scored(false))
    }

    fn is_live(&self, now: Duration, member: &Member) -> bool {
        let timeout = if member.domain == self.own_domain {
            SAME_DOMAIN_TIMEOUT
        } else {
            OTHER_DOMAIN_TIMEOUT
        };
        member.host == self.own
            || member
                .last_heartbeat
                .is_some_and(|last_heartbeat| now <= last_heartbeat + timeout)
    }
}
