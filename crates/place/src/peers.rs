//! What the other routers have told.

use {
    crate::{Claim, Claims, Load, ServerKey},
    baobab_unit::{HostId, WorkspaceId},
    std::{collections::HashMap, time::Duration},
};

/// One router's news. Entries replace earlier ones of the same key; what is not named stays.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerReport {
    /// Whether servers that are not named have no load.
    pub is_full: bool,
    /// Unfinished work by server.
    pub loads: Vec<(ServerKey, Load)>,
    /// What each workspace asks of the router and gets from it.
    pub claims: Vec<(WorkspaceId, Claim)>,
}

#[derive(Debug, Default)]
struct Peer {
    heard_at: Duration,
    loads: HashMap<ServerKey, Load>,
    claims: Claims,
}

/// Sums of what the live routers have told.
#[derive(Debug)]
pub struct Peers {
    live: HashMap<HostId, Peer>,
    totals: HashMap<ServerKey, Load>,
    silence: Duration,
}

impl Peers {
    /// Starts alone. Routers that are silent for longer than `silence` count for nothing.
    #[must_use]
    pub fn new(silence: Duration) -> Self {
        Self {
            live: HashMap::new(),
            totals: HashMap::new(),
            silence,
        }
    }

    /// Takes a router's news in.
    pub fn on_report(&mut self, host: HostId, report: &PeerReport, now: Duration) {
        let peer = self.live.entry(host).or_default();
        peer.heard_at = now;
        if report.is_full {
            for (server, load) in peer.loads.drain() {
                subtract(&mut self.totals, server, load);
            }
            peer.claims.clear();
        }
        for &(server, load) in &report.loads {
            if let Some(before) = peer.loads.insert(server, load) {
                subtract(&mut self.totals, server, before);
            }
            *self.totals.entry(server).or_default() += load;
        }
        peer.claims.extend(report.claims.iter().copied());
    }

    /// Forgets routers that have been silent.
    pub fn expire(&mut self, now: Duration) {
        let silence = self.silence;
        let totals = &mut self.totals;
        self.live.retain(|_, peer| {
            let is_live = now.saturating_sub(peer.heard_at) <= silence;
            if !is_live {
                for (&server, &load) in &peer.loads {
                    subtract(totals, server, load);
                }
            }
            is_live
        });
    }

    /// Returns the work that the other routers have at a server.
    #[must_use]
    pub fn load(&self, server: ServerKey) -> Load {
        self.totals.get(&server).copied().unwrap_or_default()
    }

    /// Returns what each workspace asks of the other routers and gets from them.
    #[must_use]
    pub fn claims(&self) -> Claims {
        let mut sums = Claims::new();
        for peer in self.live.values() {
            for (&workspace, claim) in &peer.claims {
                let sum = sums.entry(workspace).or_default();
                sum.requested += claim.requested;
                sum.served += claim.served;
            }
        }
        sums
    }

    /// Returns the number of other live routers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Tells whether no other router is live.
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
