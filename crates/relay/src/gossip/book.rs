//! The routers of the fleet and how to reach them.

use {
    super::{
        PeerKey, SealError,
        message::News,
        seal::{Sender, open},
    },
    crate::PeerHost,
    baobab_unit::{HostId, Window, id_of},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Silence after which a router is sent news only now and then.
const QUIET_AFTER: Duration = Duration::from_secs(2);
/// Time between two datagrams to a router that is silent.
const KNOCK_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Entry {
    peer: PeerHost,
    window: Window,
    heard_at: Duration,
    knocked_at: Duration,
}

/// The other routers, by host.
#[derive(Debug)]
pub struct Book {
    own: HostId,
    entries: BTreeMap<HostId, Entry>,
}

impl Book {
    /// Starts alone.
    #[must_use]
    pub fn new(own_host: &str) -> Self {
        Self {
            own: id_of(own_host),
            entries: BTreeMap::new(),
        }
    }

    /// Takes one router in, unless a later run of it is known.
    pub fn insert(&mut self, peer: PeerHost, now: Duration) {
        let host = id_of(&peer.host);
        let is_known = self
            .entries
            .get(&host)
            .is_some_and(|entry| entry.peer == peer);
        if host == self.own || is_known {
            return;
        }
        self.entries.insert(
            host,
            Entry {
                peer,
                window: Window::default(),
                heard_at: now,
                knocked_at: now,
            },
        );
    }

    /// Takes the whole list of routers in.
    pub fn replace(&mut self, peers: Vec<PeerHost>, now: Duration) {
        let listed: Vec<HostId> = peers.iter().map(|peer| id_of(&peer.host)).collect();
        self.entries.retain(|host, _| listed.contains(host));
        for peer in peers {
            self.insert(peer, now);
        }
    }

    /// Removes a router that has ended.
    pub fn remove(&mut self, host: &str) {
        self.entries.remove(&id_of(host));
    }

    /// Returns the number of routers, this one included.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.entries.len() + 1
    }

    /// Returns how many routers that are heard stand before this one, in an order that all agree
    /// on.
    #[must_use]
    pub fn rank(&self, now: Duration) -> usize {
        self.entries
            .range(..self.own)
            .filter(|(_, entry)| now.saturating_sub(entry.heard_at) <= QUIET_AFTER)
            .count()
    }

    /// Returns where to send news now: to every router that is heard, and now and then to those
    /// that are not.
    pub fn receivers(&mut self, now: Duration) -> Vec<SocketAddr> {
        let mut receivers = Vec::with_capacity(self.entries.len());
        for entry in self.entries.values_mut() {
            let is_quiet = now.saturating_sub(entry.heard_at) > QUIET_AFTER;
            if is_quiet && now.saturating_sub(entry.knocked_at) < KNOCK_INTERVAL {
                continue;
            }
            entry.knocked_at = now;
            receivers.push(entry.peer.address);
        }
        receivers
    }

    /// Decodes a datagram of a known router.
    ///
    /// # Errors
    ///
    /// Fails where the datagram is malformed, forged or replayed, or its sender unknown.
    pub fn receive(&mut self, bytes: &[u8], now: Duration) -> Result<(HostId, News), SealError> {
        let (sender, news) = open(bytes, |sender| self.key_of(sender))?;
        let entry = self
            .entries
            .get_mut(&sender.host)
            .ok_or(SealError::Stranger)?;
        if !entry.window.accept(sender.number) {
            return Err(SealError::Replayed);
        }
        entry.heard_at = now;
        Ok((sender.host, news))
    }

    fn key_of(&self, sender: Sender) -> Option<PeerKey> {
        self.entries
            .get(&sender.host)
            .filter(|entry| entry.peer.incarnation == sender.incarnation)
            .map(|entry| entry.peer.key)
    }
}
