//! Loads and workspace rates reported by the other routers.

use {
    crate::{Load, RatesByWorkspace, ServerKey, WorkspaceRates},
    baobab_unit::{HostId, WorkspaceId},
    foldhash::{HashMap, HashSet},
    std::time::Duration,
};

/// Time for which an owner's answer on rates is used.
const ANSWER_LIFETIME: Duration = Duration::from_secs(2);
/// Time for which an owner's answer on a load is used: about that in which a queue of prompts drains.
const LOAD_ANSWER_LIFETIME: Duration = Duration::from_millis(500);
/// Number of groups that workspaces are divided into; each has an owner in a large fleet.
const WORKSPACE_GROUPS: u32 = 16;

/// Group of workspaces with a common owner.
pub type WorkspaceGroup = u32;

/// Returns the group that a workspace belongs to.
#[must_use]
pub fn workspace_group(workspace: WorkspaceId) -> WorkspaceGroup {
    workspace % WORKSPACE_GROUPS
}

/// Returns all groups of workspaces.
pub fn workspace_groups() -> impl Iterator<Item = WorkspaceGroup> {
    0..WORKSPACE_GROUPS
}

/// A report from one router. Entries replace earlier ones with the same key; entries not included
/// keep their value, unless the report replaces all of its kind.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerReport {
    /// Whether the loads replace all earlier ones of the router.
    pub replaces_loads: bool,
    /// Whether the rates replace all earlier ones of the router.
    pub replaces_rates: bool,
    /// Load that the router has on each server.
    pub loads: Vec<(ServerKey, Load)>,
    /// Requested and served rates of each workspace at the router.
    pub rates: Vec<(WorkspaceId, WorkspaceRates)>,
}

#[derive(Debug, Default)]
struct Peer {
    updated_at: Duration,
    loads: HashMap<ServerKey, Load>,
    rates: RatesByWorkspace,
}

#[derive(Debug)]
struct RateAnswer {
    rates: RatesByWorkspace,
    received_at: Duration,
}

/// Latest reports of the live routers and their sums.
#[derive(Debug)]
pub struct Peers {
    live: HashMap<HostId, Peer>,
    totals: HashMap<ServerKey, Load>,
    /// Loads by answers of the servers' owners, without those of this router.
    answers: HashMap<ServerKey, Answer>,
    /// Servers that this router owned when it last looked.
    owned: HashSet<ServerKey>,
    /// Sum of the rates of all live routers.
    rate_totals: RatesByWorkspace,
    /// Rates by answers of the workspaces' owners, without those of this router.
    rate_answers: HashMap<WorkspaceGroup, RateAnswer>,
    peer_timeout: Duration,
}

#[derive(Debug)]
struct Answer {
    load: Load,
    received_at: Duration,
}

impl Peers {
    /// Creates a view without peers. Routers that send no report for longer than `peer_timeout` are
    /// removed by [`Peers::expire`].
    #[must_use]
    pub fn new(peer_timeout: Duration) -> Self {
        Self {
            live: HashMap::default(),
            totals: HashMap::default(),
            answers: HashMap::default(),
            owned: HashSet::default(),
            rate_totals: RatesByWorkspace::new(),
            rate_answers: HashMap::default(),
            peer_timeout,
        }
    }

    /// Sets the time without reports after which a router is removed.
    pub fn set_timeout(&mut self, peer_timeout: Duration) {
        self.peer_timeout = peer_timeout;
    }

    /// Records the load that all other routers have on a server, as its owner knows it. Replaces
    /// the sum of the reports received here.
    pub fn on_answer(&mut self, server: ServerKey, load: Load, now: Duration) {
        let answer = Answer {
            load,
            received_at: now,
        };
        self.answers.insert(server, answer);
        self.owned.remove(&server);
    }

    /// Forgets the answer for a server, because this router owns it.
    pub fn on_owned(&mut self, server: ServerKey) {
        self.answers.remove(&server);
        self.owned.insert(server);
    }

    /// Forgets which servers this router owned.
    pub fn forget_owned(&mut self) {
        self.owned.clear();
    }

    /// Records the rates that all other routers have for the workspaces of a group, as its owner
    /// knows them. Replaces the sum of the reports received here.
    pub fn on_rate_answer(
        &mut self,
        group: WorkspaceGroup,
        rates: RatesByWorkspace,
        now: Duration,
    ) {
        let answer = RateAnswer {
            rates,
            received_at: now,
        };
        self.rate_answers.insert(group, answer);
    }

    /// Forgets the answer for a group of workspaces, because this router owns it.
    pub fn forget_rate_answer(&mut self, group: WorkspaceGroup) {
        self.rate_answers.remove(&group);
    }

    /// Returns the rates of a group's workspaces that all routers but one have reported here.
    #[must_use]
    pub fn rates_without(&self, host: HostId, group: WorkspaceGroup) -> RatesByWorkspace {
        let reported = self.live.get(&host).map(|peer| &peer.rates);
        self.rate_totals
            .iter()
            .filter(|(workspace, _)| workspace_group(**workspace) == group)
            .map(|(workspace, total)| {
                let mut rates = *total;
                if let Some(own) = reported.and_then(|reported| reported.get(workspace)) {
                    rates -= *own;
                }
                (*workspace, rates)
            })
            .collect()
    }

    /// Returns the load on a server that one router has reported here.
    #[must_use]
    pub fn reported_load(&self, host: HostId, server: ServerKey) -> Load {
        self.live
            .get(&host)
            .and_then(|peer| peer.loads.get(&server))
            .copied()
            .unwrap_or_default()
    }

    /// Applies a router's report.
    pub fn on_report(&mut self, host: HostId, report: &PeerReport, now: Duration) {
        let peer = self.live.entry(host).or_default();
        peer.updated_at = now;
        if report.replaces_loads {
            for (server, load) in peer.loads.drain() {
                subtract(&mut self.totals, server, load);
            }
        }
        if report.replaces_rates {
            for (workspace, rates) in peer.rates.drain() {
                subtract_rates(&mut self.rate_totals, workspace, rates);
            }
        }
        for &(server, load) in &report.loads {
            if let Some(previous) = peer.loads.insert(server, load) {
                subtract(&mut self.totals, server, previous);
            }
            *self.totals.entry(server).or_default() += load;
        }
        for &(workspace, rates) in &report.rates {
            if let Some(previous) = peer.rates.insert(workspace, rates) {
                subtract_rates(&mut self.rate_totals, workspace, previous);
            }
            *self.rate_totals.entry(workspace).or_default() += rates;
        }
    }

    /// Removes routers whose last report is older than the timeout.
    pub fn expire(&mut self, now: Duration) {
        self.answers
            .retain(|_, answer| now.saturating_sub(answer.received_at) <= LOAD_ANSWER_LIFETIME);
        self.rate_answers
            .retain(|_, answer| now.saturating_sub(answer.received_at) <= ANSWER_LIFETIME);
        let peer_timeout = self.peer_timeout;
        let rate_totals = &mut self.rate_totals;
        let totals = &mut self.totals;
        self.live.retain(|_, peer| {
            let is_live = now.saturating_sub(peer.updated_at) <= peer_timeout;
            if !is_live {
                for (&server, &load) in &peer.loads {
                    subtract(totals, server, load);
                }
                for (&workspace, &rates) in &peer.rates {
                    subtract_rates(rate_totals, workspace, rates);
                }
            }
            is_live
        });
        rate_totals.retain(|_, rates| rates.requested > 0.0 || rates.served > 0.0);
    }

    /// Returns the load that the other routers have reported here for a server, or that its owner has
    /// answered.
    #[must_use]
    pub fn load(&self, server: ServerKey) -> Load {
        match self.answers.get(&server) {
            Some(answer) => answer.load,
            None => self.totals.get(&server).copied().unwrap_or_default(),
        }
    }

    /// Whether a server's owner has answered lately, or this router owns the server.
    #[must_use]
    pub fn has_answer(&self, server: ServerKey) -> bool {
        self.answers.contains_key(&server) || self.owned.contains(&server)
    }

    /// Returns the servers whose owners have answered lately, and those that this router owns, with the load of the
    /// other routers.
    pub(crate) fn known_loads(&self) -> impl Iterator<Item = (ServerKey, Load)> {
        let answered = self.answers.iter().map(|(key, answer)| (*key, answer.load));
        let owned = self.owned.iter().map(|key| (*key, self.load(*key)));
        answered.chain(owned)
    }

    /// Returns the requested and served rates of each workspace, summed over the other routers.
    #[must_use]
    pub fn rates(&self) -> RatesByWorkspace {
        let mut sums: RatesByWorkspace = self
            .rate_totals
            .iter()
            .filter(|(workspace, _)| {
                !self
                    .rate_answers
                    .contains_key(&workspace_group(**workspace))
            })
            .map(|(workspace, rates)| (*workspace, *rates))
            .collect();
        for answer in self.rate_answers.values() {
            sums.extend(&answer.rates);
        }
        sums
    }

    /// Returns the number of other live routers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Returns whether no other router is live.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }
}

fn subtract(totals: &mut HashMap<ServerKey, Load>, server: ServerKey, load: Load) {
    if let Some(total) = totals.get_mut(&server) {
        *total -= load;
    }
}

fn subtract_rates(totals: &mut RatesByWorkspace, workspace: WorkspaceId, rates: WorkspaceRates) {
    if let Some(total) = totals.get_mut(&workspace) {
        *total -= rates;
    }
}
