//! Loads and workspace rates reported by the other routers.

use {
    crate::{Load, RatesByWorkspace, ServerKey, WorkspaceRates},
    baobab_unit::{HostId, WorkspaceId},
    std::{collections::HashMap, time::Duration},
};

/// A report from one router. Entries replace earlier ones with the same key; entries not included
/// keep their value, unless `is_full` is set.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerReport {
    /// Whether this report replaces all earlier entries of the router.
    pub is_full: bool,
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

/// Latest reports of the live routers and their sums.
#[derive(Debug)]
pub struct Peers {
    live: HashMap<HostId, Peer>,
    totals: HashMap<ServerKey, Load>,
    peer_timeout: Duration,
}

impl Peers {
    /// Creates a view without peers. Routers that send no report for longer than `peer_timeout` are
    /// removed by [`Peers::expire`].
    #[must_use]
    pub fn new(peer_timeout: Duration) -> Self {
        Self {
            live: HashMap::new(),
            totals: HashMap::new(),
            peer_timeout,
        }
    }

    /// Applies a router's report.
    pub fn on_report(&mut self, host: HostId, report: &PeerReport, now: Duration) {
        let peer = self.live.entry(host).or_default();
        peer.updated_at = now;
        if report.is_full {
            for (server, load) in peer.loads.drain() {
                subtract(&mut self.totals, server, load);
            }
            peer.rates.clear();
        }
        for &(server, load) in &report.loads {
            if let Some(previous) = peer.loads.insert(server, load) {
                subtract(&mut self.totals, server, previous);
            }
            *self.totals.entry(server).or_default() += load;
        }
        peer.rates.extend(report.rates.iter().copied());
    }

    /// Removes routers whose last report is older than the timeout.
    pub fn expire(&mut self, now: Duration) {
        let peer_timeout = self.peer_timeout;
        let totals = &mut self.totals;
        self.live.retain(|_, peer| {
            let is_live = now.saturating_sub(peer.updated_at) <= peer_timeout;
            if !is_live {
                for (&server, &load) in &peer.loads {
                    subtract(totals, server, load);
                }
            }
            is_live
        });
    }

    /// Returns the load that the other routers have on a server.
    #[must_use]
    pub fn load(&self, server: ServerKey) -> Load {
        self.totals.get(&server).copied().unwrap_or_default()
    }

    /// Returns the requested and served rates of each workspace, summed over the other routers.
    #[must_use]
    pub fn rates(&self) -> RatesByWorkspace {
        let mut sums = RatesByWorkspace::new();
        for peer in self.live.values() {
            for (&workspace, rates) in &peer.rates {
                let sum = sums.entry(workspace).or_default();
                sum.requested += rates.requested;
                sum.served += rates.served;
            }
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
