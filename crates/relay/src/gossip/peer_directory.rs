//! The other routers of the fleet, with their addresses and keys.

use {
    super::{
        PeerKey,
        message::GossipMessage,
        seal::{SealError, Sender, open},
    },
    crate::PeerHost,
    baobab_place::{PartId, ServerKey, rendezvous_score},
    baobab_unit::{HostId, Window, id_of},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Time without datagrams after which a router counts as silent.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Interval of datagrams to a silent router.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct PeerEntry {
    peer: PeerHost,
    window: Window,
    last_received_at: Duration,
    last_sent_at: Duration,
}

impl PeerEntry {
    fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_received_at) > SILENT_AFTER
    }
}

/// The other routers, by host.
#[derive(Debug)]
pub struct PeerDirectory {
    own_host: HostId,
    entries: BTreeMap<HostId, PeerEntry>,
}

impl PeerDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(own_host: &str) -> Self {
        Self {
            own_host: id_of(own_host),
            entries: BTreeMap::new(),
        }
    }

    /// Adds or updates one router, and resets its replay window unless it is unchanged.
    pub fn insert(&mut self, peer: PeerHost, now: Duration) {
        let host = id_of(&peer.host);
        let is_known = self
            .entries
            .get(&host)
            .is_some_and(|entry| entry.peer == peer);
        if host == self.own_host || is_known {
            return;
        }
        self.entries.insert(
            host,
            PeerEntry {
                peer,
                window: Window::default(),
                last_received_at: now,
                last_sent_at: now,
            },
        );
    }

    /// Replaces the list of routers; unchanged ones keep their state.
    pub fn replace(&mut self, peers: Vec<PeerHost>, now: Duration) {
        let listed: Vec<HostId> = peers.iter().map(|peer| id_of(&peer.host)).collect();
        self.entries.retain(|host, _| listed.contains(host));
        for peer in peers {
            self.insert(peer, now);
        }
    }

    /// Adds the routers of a list that may be outdated. Unlisted routers and later runs that send
    /// gossip stay.
    pub fn merge(&mut self, peers: Vec<PeerHost>, now: Duration) {
        for peer in peers {
            let is_outdated = self.entries.get(&id_of(&peer.host)).is_some_and(|entry| {
                entry.peer.incarnation > peer.incarnation && !entry.is_silent(now)
            });
            if !is_outdated {
                self.insert(peer, now);
            }
        }
    }

    /// Removes a router that has stopped.
    pub fn remove(&mut self, host: &str) {
        self.entries.remove(&id_of(host));
    }

    /// Returns the number of routers, including this one.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.entries.len() + 1
    }

    /// Returns how many routers that are not silent precede this one, in the order of host ids that
    /// all routers share.
    #[must_use]
    pub fn preceding_routers(&self, now: Duration) -> usize {
        self.entries
            .range(..self.own_host)
            .filter(|(_, entry)| !entry.is_silent(now))
            .count()
    }

    /// Returns the addresses to send gossip to now: those of all routers that are not silent, and
    /// of silent ones at [`PROBE_INTERVAL`].
    pub fn destinations(&mut self, now: Duration) -> Vec<SocketAddr> {
        let mut destinations = Vec::with_capacity(self.entries.len());
        for entry in self.entries.values_mut() {
            if entry.is_silent(now) && now.saturating_sub(entry.last_sent_at) < PROBE_INTERVAL {
                continue;
            }
            entry.last_sent_at = now;
            destinations.push(entry.peer.address);
        }
        destinations
    }

    /// Returns the router that owns a server: it keeps the load of all routers on it. None if that
    /// is this router.
    #[must_use]
    pub fn server_owner(&self, server: ServerKey, now: Duration) -> Option<HostId> {
        self.owner(|host| rendezvous_score(u64::from(host), server), now)
    }

    /// Returns the router that owns a prompt part: it keeps where the part is cached. None if that
    /// is this router.
    #[must_use]
    pub fn part_owner(&self, part: PartId, now: Duration) -> Option<HostId> {
        self.owner(|host| rendezvous_score(part, host), now)
    }

    fn owner(&self, score: impl Fn(HostId) -> u64, now: Duration) -> Option<HostId> {
        let best = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_silent(now))
            .map(|(host, _)| (score(*host), *host))
            .max()?;
        (best > (score(self.own_host), self.own_host)).then_some(best.1)
    }

    /// Returns the address of a router.
    #[must_use]
    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.entries.get(&host).map(|entry| entry.peer.address)
    }

    /// Verifies and decodes a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is malformed, forged or replayed, or its sender unknown.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        now: Duration,
    ) -> Result<(HostId, GossipMessage), SealError> {
        let (sender, message) = open(bytes, |sender| self.peer_key(sender))?;
        let entry = self
            .entries
            .get_mut(&sender.host)
            .ok_or(SealError::UnknownSender)?;
        if !entry.window.accept(sender.number) {
            return Err(SealError::Replayed);
        }
        entry.last_received_at = now;
        Ok((sender.host, message))
    }

    fn peer_key(&self, sender: Sender) -> Option<PeerKey> {
        self.entries
            .get(&sender.host)
            .filter(|entry| entry.peer.incarnation == sender.incarnation)
            .map(|entry| entry.peer.key)
    }
}
