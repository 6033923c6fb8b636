//! Live hosts, from heartbeats and the platform's list.

use {
    crate::score,
    baobab_unit::{DomainId, HostId, Incarnation, PoolId},
    std::{collections::BTreeMap, time::Duration},
};

/// Silence after which a host of the same failure domain counts as dead.
const NEAR_DEAD_AFTER: Duration = Duration::from_secs(1);
/// Silence after which a host of another failure domain counts as dead.
const FAR_DEAD_AFTER: Duration = Duration::from_millis(4500);

/// A host of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    heard: Option<Duration>,
    incarnation: Incarnation,
    draining: bool,
    listed_leaving: bool,
}

impl Member {
    /// Describes a host that was not heard yet.
    #[must_use]
    pub fn new(host: HostId, domain: DomainId) -> Self {
        Self {
            host,
            domain,
            heard: None,
            incarnation: 0,
            draining: false,
            listed_leaving: false,
        }
    }
}

/// All hosts of the fleet, as this one sees them.
#[derive(Debug)]
pub struct Membership {
    own: HostId,
    own_domain: DomainId,
    members: BTreeMap<HostId, Member>,
}

impl Membership {
    /// Starts with this host alive and every peer unheard.
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

    /// Records a heartbeat. Returns whether the host is new or has restarted.
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
        member.heard = Some(now);
        restarted
    }

    /// Notes whether a host is about to stop.
    pub fn set_draining(&mut self, host: HostId, draining: bool) {
        if let Some(member) = self.members.get_mut(&host) {
            member.draining = draining;
        }
    }

    /// Notes whether the platform's list has a host leaving.
    pub fn set_leaving(&mut self, host: HostId, leaving: bool) {
        if let Some(member) = self.members.get_mut(&host) {
            member.listed_leaving = leaving;
        }
    }

    /// Returns the live hosts.
    pub fn live(&self, now: Duration) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |member| self.lives(now, member))
    }

    /// Returns the host that dispatches a pool: the one with the highest score among the live
    /// hosts of the pool's domain that stay, or of any domain where it has none.
    #[must_use]
    pub fn dispatcher(&self, now: Duration, pool: PoolId, domain: DomainId) -> Option<HostId> {
        let able = |member: &&Member| !member.draining && !member.listed_leaving;
        let best = |local: bool| {
            self.live(now)
                .filter(able)
                .filter(|member| !local || member.domain == domain)
                .max_by_key(|member| score(pool, member.host))
                .map(|member| member.host)
        };
        best(true).or_else(|| best(false))
    }

    fn lives(&self, now: Duration, member: &Member) -> bool {
        let dead_after = if member.domain == self.own_domain {
            NEAR_DEAD_AFTER
        } else {
            FAR_DEAD_AFTER
        };
        member.host == self.own || member.heard.is_some_and(|heard| now <= heard + dead_after)
    }
}
