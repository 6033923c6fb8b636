//! Which backend servers there are.

use {
    crate::{Server, ServerId, ServerKey},
    std::{collections::BTreeMap, time::Duration},
};

#[derive(Debug)]
struct Entry {
    server: Server,
    /// Set where the entry vanished while the list could not be trusted.
    missing_since: Option<Duration>,
}

/// The announced servers.
///
/// Announcements lapse while the list's store is away, because the servers cannot renew them. A
/// server whose entry vanished around such a time stays in use until the list has been sound for
/// `settle`; only then is it taken as gone.
#[derive(Debug)]
pub struct Registry {
    entries: BTreeMap<ServerKey, Entry>,
    settle: Duration,
    /// Since when the list has been sound; none while it is out of reach.
    sound_since: Option<Duration>,
    has_list: bool,
}

impl Registry {
    /// Starts empty.
    #[must_use]
    pub fn new(settle: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            settle,
            sound_since: None,
            has_list: false,
        }
    }

    /// Tells whether a whole list has been received.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Notes that the list can be read.
    pub fn on_list_available(&mut self, now: Duration) {
        self.sound_since.get_or_insert(now);
    }

    /// Notes that the list is out of reach.
    pub fn on_list_unavailable(&mut self) {
        self.sound_since = None;
    }

    /// Takes one announcement in. Returns true where it starts another run of a known server.
    pub fn announce(&mut self, server: Server) -> bool {
        let is_another_run = self.get(server.key).is_some_and(|before| {
            before.started_unix_ms != server.started_unix_ms || before.address != server.address
        });
        let entry = Entry {
            server,
            missing_since: None,
        };
        self.entries.insert(entry.server.key, entry);
        is_another_run
    }

    /// Takes the end of an announcement in. Returns true where the server is gone at once.
    pub fn withdraw(&mut self, id: &str, now: Duration) -> bool {
        let Some(key) = self.key_of(id) else {
            return false;
        };
        if self.is_settled(now) {
            self.entries.remove(&key);
            return true;
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.missing_since.get_or_insert(now);
        }
        false
    }

    /// Takes the whole list in; servers that are not on it are withdrawn.
    pub fn replace(&mut self, servers: Vec<Server>, now: Duration) {
        let listed: Vec<ServerKey> = servers.iter().map(|server| server.key).collect();
        for server in servers {
            self.announce(server);
        }
        let missing: Vec<ServerId> = self
            .entries
            .values()
            .filter(|entry| !listed.contains(&entry.server.key))
            .map(|entry| entry.server.id.clone())
            .collect();
        for id in missing {
            self.withdraw(&id, now);
        }
        self.has_list = true;
    }

    /// Removes a server that is known not to be at its address any more.
    pub fn remove(&mut self, key: ServerKey) {
        self.entries.remove(&key);
    }

    /// Drops servers that are still missing after the list has been sound for long enough.
    pub fn expire(&mut self, now: Duration) {
        if self.is_settled(now) {
            self.entries
                .retain(|_, entry| entry.missing_since.is_none());
        }
    }

    /// Returns the server with this key.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.entries.get(&key).map(|entry| &entry.server)
    }

    /// Returns all known servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Returns the servers of a service that may get new work.
    pub fn usable<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Server> {
        self.all()
            .filter(move |server| server.service == service && !server.is_leaving)
    }

    fn key_of(&self, id: &str) -> Option<ServerKey> {
        self.all()
            .find(|server| server.id == id)
            .map(|server| server.key)
    }

    fn is_settled(&self, now: Duration) -> bool {
        self.sound_since
            .is_some_and(|since| now.saturating_sub(since) >= self.settle)
    }
}
