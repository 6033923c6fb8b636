//! The other routers of the fleet, with their addresses and keys.

use {
    super::{
        PeerKey,
        message::GossipMessage,
        seal::{SealError, Sender, open},
    },
    crate::PeerHost,
    baobab_place::{PartId, ServerKey, WorkspaceGroup, rendezvous_score},
    baobab_unit::{HostId, Window, id_of},
    std::{
        cell::RefCell,
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Minimum time without datagrams after which a router counts as silent.
const MIN_SILENT_AFTER: Duration = Duration::from_secs(2);
/// Consecutive questions without an answer after which a router owns nothing for a while.
const MAX_MISSED_ANSWERS: u32 = 2;
/// How long that is, unless it sends a datagram.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(2);
/// Number of the streams among what has an owner.
const STREAMS: u64 = u64::MAX;
/// Number of the retry histories among what has an owner.
const RETRY_HISTORIES: u64 = u64::MAX - 1;
/// Interval of datagrams to a silent router.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A run of a router's process.
#[derive(Debug)]
struct Run {
    peer: PeerHost,
    window: Window,
}

impl Run {
    fn new(peer: PeerHost) -> Self {
        Self {
            peer,
            window: Window::default(),
        }
    }

    fn is_of(&self, sender: Sender) -> bool {
        self.peer.incarnation == sender.incarnation
    }
}

#[derive(Debug)]
struct PeerEntry {
    run: Run,
    /// Another run of the host, of which a row was read. Rows can be read in another order than that in
    /// which the runs began; datagrams show which run is live.
    other_run: Option<Run>,
    last_received_at: Duration,
    last_sent_at: Duration,
    missed_answers: u32,
    last_missed_at: Duration,
}

impl PeerEntry {
    fn is_silent(&self, silent_after: Duration, now: Duration) -> bool {
        now.saturating_sub(self.last_received_at) > silent_after
    }

    /// Returns the run that has sent a datagram, which is the live one.
    fn run_of(&mut self, sender: Sender) -> Option<&mut Run> {
        if let Some(other_run) = &mut self.other_run
            && other_run.is_of(sender)
            && !self.run.is_of(sender)
        {
            std::mem::swap(&mut self.run, other_run);
        }
        self.run.is_of(sender).then_some(&mut self.run)
    }

    fn is_unresponsive(&self, now: Duration) -> bool {
        self.missed_answers >= MAX_MISSED_ANSWERS
            && now.saturating_sub(self.last_missed_at) <= UNRESPONSIVE_PERIOD
    }
}

/// The other routers, by host.
#[derive(Debug)]
pub struct PeerDirectory {
    own_host: HostId,
    entries: BTreeMap<HostId, PeerEntry>,
    silent_after: Duration,
    /// Whether the routers of the fleet were ever listed.
    is_listed: bool,
    /// Owners found since the last call of [`PeerDirectory::forget_owners`].
    owners: RefCell<HashMap<Owned, Option<HostId>>>,
}

/// What has an owner among the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Owned {
    /// A backend server: the owner keeps the load of all routers on it.
    Server(ServerKey),
    /// A prompt part: the owner keeps where it is cached.
    Part(PartId),
    /// A group of workspaces: the owner keeps their rates at all routers.
    Workspaces(WorkspaceGroup),
    /// The streams: the owner keeps which version began each, and writes that to the store.
    Streams,
}

impl Owned {
    fn score(self, host: HostId) -> u64 {
        match self {
            Self::Server(server) => rendezvous_score(u64::from(host), server),
            Self::Part(part) => rendezvous_score(part, host),
            Self::Workspaces(group) => rendezvous_score(u64::from(group), host),
            Self::Streams => rendezvous_score(STREAMS, host),
        }
    }
}

impl PeerDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new(own_host: &str) -> Self {
        Self {
            own_host: id_of(own_host),
            entries: BTreeMap::new(),
            silent_after: MIN_SILENT_AFTER,
            is_listed: false,
            owners: RefCell::default(),
        }
    }

    /// Adds or updates one router. An earlier run does not replace a later one that sends gossip.
    pub fn insert(&mut self, peer: PeerHost, now: Duration) {
        let host = id_of(&peer.host);
        if host == self.own_host {
            return;
        }
        let silent_after = self.silent_after;
        let Some(entry) = self.entries.get_mut(&host) else {
            let entry = PeerEntry {
                run: Run::new(peer),
                other_run: None,
                last_received_at: now,
                last_sent_at: now,
                missed_answers: 0,
                last_missed_at: Duration::ZERO,
            };
            self.entries.insert(host, entry);
            return;
        };
        if entry.run.peer == peer {
            return;
        }
        let is_earlier = entry.run.peer.incarnation > peer.incarnation;
        let run = match entry.other_run.take() {
            Some(run) if run.peer == peer => run,
            _ => Run::new(peer),
        };
        if is_earlier && !entry.is_silent(silent_after, now) {
            entry.other_run = Some(run);
            return;
        }
        entry.other_run = Some(std::mem::replace(&mut entry.run, run));
        entry.last_received_at = now;
        entry.last_sent_at = now;
        entry.missed_answers = 0;
    }

    /// Replaces the list of routers; unchanged ones keep their state.
    pub fn replace(&mut self, peers: Vec<PeerHost>, now: Duration) {
        let listed: Vec<HostId> = peers.iter().map(|peer| id_of(&peer.host)).collect();
        self.entries.retain(|host, _| listed.contains(host));
        self.is_listed = true;
        for peer in peers {
            self.insert(peer, now);
        }
    }

    /// Adds the routers of a list that may be outdated. Unlisted routers stay.
    pub fn merge(&mut self, peers: Vec<PeerHost>, now: Duration) {
        for peer in peers {
            self.insert(peer, now);
        }
    }

    /// Removes a router that has stopped.
    pub fn remove(&mut self, host: &str) {
        self.entries.remove(&id_of(host));
    }

    /// Whether the routers of the fleet were ever listed.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.is_listed
    }

    /// Returns the number of routers, including this one.
    #[must_use]
    pub fn fleet_size(&self) -> usize {
        self.entries.len() + 1
    }

    /// Returns the part of the fleet that this router reaches, itself included: 1 if it reaches all,
    /// 0 if it does not know them yet.
    #[must_use]
    pub fn reachable_share(&self, now: Duration) -> f64 {
        if !self.is_listed {
            return 0.0;
        }
        let reachable = self.entries.values().filter(|entry| {
            !entry.is_silent(self.silent_after, now) && !entry.is_unresponsive(now)
        });
        (reachable.count() + 1) as f64 / self.fleet_size() as f64
    }

    /// Returns how many routers that are not silent precede this one, in the order of host ids that
    /// all routers share.
    #[must_use]
    pub fn preceding_routers(&self, now: Duration) -> usize {
        self.entries
            .range(..self.own_host)
            .filter(|(_, entry)| !entry.is_silent(self.silent_after, now))
            .count()
    }

    /// Returns the addresses to send gossip to now: those of all routers that are not silent, and
    /// of silent ones at [`PROBE_INTERVAL`].
    pub fn destinations(&mut self, now: Duration) -> Vec<SocketAddr> {
        let mut destinations = Vec::with_capacity(self.entries.len());
        for entry in self.entries.values_mut() {
            if entry.is_silent(self.silent_after, now)
                && now.saturating_sub(entry.last_sent_at) < PROBE_INTERVAL
            {
                continue;
            }
            entry.last_sent_at = now;
            destinations.push(entry.run.peer.address);
        }
        destinations
    }

    /// Sets the time without datagrams after which a router counts as silent, if that is not too
    /// short.
    pub fn set_silent_after(&mut self, silent_after: Duration) {
        self.silent_after = silent_after.max(MIN_SILENT_AFTER);
    }

    /// Returns the router that owns something: by rendezvous hashing over the routers that are not
    /// silent and answer. None if that is this router.
    #[must_use]
    pub fn owner(&self, owned: Owned, now: Duration) -> Option<HostId> {
        *self
            .owners
            .borrow_mut()
            .entry(owned)
            .or_insert_with(|| self.find_owner(owned, now))
    }

    fn find_owner(&self, owned: Owned, now: Duration) -> Option<HostId> {
        let best = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                !entry.is_silent(self.silent_after, now) && !entry.is_unresponsive(now)
            })
            .map(|(host, _)| (owned.score(*host), *host))
            .max()?;
        (best > (owned.score(self.own_host), self.own_host)).then_some(best.1)
    }

    /// Returns the addresses of the `count` routers that keep the retry history of this one: by rendezvous
    /// hashing over the routers that are not silent, so that the next run of this router finds them.
    #[must_use]
    pub fn history_keepers(&self, count: usize, now: Duration) -> Vec<SocketAddr> {
        let own = RETRY_HISTORIES ^ (u64::from(self.own_host) << 32);
        let mut keepers: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| !entry.is_silent(self.silent_after, now))
            .map(|(host, entry)| (rendezvous_score(own, *host), entry.run.peer.address))
            .collect();
        keepers.sort_unstable_by_key(|(score, _)| std::cmp::Reverse(*score));
        keepers.truncate(count);
        keepers.into_iter().map(|(_, address)| address).collect()
    }

    /// Makes later calls of [`PeerDirectory::owner`] consider the routers' present state.
    pub fn forget_owners(&mut self) {
        self.owners.get_mut().clear();
    }

    /// Records that a router has not answered a question in time.
    pub fn on_missed_answer(&mut self, host: HostId, now: Duration) {
        if let Some(entry) = self.entries.get_mut(&host) {
            entry.missed_answers += 1;
            entry.last_missed_at = now;
        }
    }

    /// Returns the address of a router.
    #[must_use]
    pub fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.entries.get(&host).map(|entry| entry.run.peer.address)
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
        let run = entry.run_of(sender).ok_or(SealError::UnknownSender)?;
        if !run.window.accept(sender.number) {
            return Err(SealError::Replayed);
        }
        entry.last_received_at = now;
        entry.missed_answers = 0;
        Ok((sender.host, message))
    }

    fn peer_key(&self, sender: Sender) -> Option<PeerKey> {
        let entry = self.entries.get(&sender.host)?;
        [Some(&entry.run), entry.other_run.as_ref()]
            .into_iter()
            .flatten()
            .find(|run| run.is_of(sender))
            .map(|run| run.peer.key)
    }
}
