//! Announced backend servers.

use {
    crate::{
        Server, ServerId, ServerKey,
        retired::{RetiredRuns, Source},
    },
    std::{
        collections::{BTreeMap, HashMap},
        time::Duration,
    },
};

#[derive(Debug)]
struct Entry {
    server: Server,
    /// Set if the announcement expired while the list was unavailable or not yet settled.
    missing_since: Option<Duration>,
}

/// The announced servers.
///
/// Announcements expire while the store is unavailable, because the servers cannot renew them. A
/// server whose announcement expired around such an outage stays in use until the list has been
/// available for `settle_time`; only then is it removed.
///
/// A store that was restored from a copy lists announcements as they were some seconds ago. Until
/// the list has settled again, a listed server that has left or is leaving is not used.
#[derive(Debug)]
pub struct Registry {
    entries: BTreeMap<ServerKey, Entry>,
    /// Sorted keys of the servers that accept new requests, by service.
    usable: HashMap<String, Vec<ServerKey>>,
    settle_time: Duration,
    /// Start of the list's current availability; `None` while it is unavailable.
    available_since: Option<Duration>,
    has_list: bool,
    /// Whether the list was read since it was last unavailable.
    is_current: bool,
    /// Whether the store was restored and the list has not settled since.
    is_restored: bool,
    retired: RetiredRuns,
}

impl Registry {
    /// Creates an empty registry. Servers with an expired announcement are removed once the list has
    /// been available for `settle_time`.
    #[must_use]
    pub fn new(settle_time: Duration) -> Self {
        Self {
            entries: BTreeMap::new(),
            usable: HashMap::new(),
            settle_time,
            available_since: None,
            has_list: false,
            is_current: false,
            is_restored: false,
            retired: RetiredRuns::default(),
        }
    }

    /// Returns whether a complete list has been received.
    #[must_use]
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Records that the list is available.
    pub fn on_list_available(&mut self, now: Duration) {
        self.available_since.get_or_insert(now);
    }

    /// Records that the list is unavailable.
    pub fn on_list_unavailable(&mut self) {
        self.available_since = None;
        self.is_current = false;
    }

    /// Records that all changes of the list up to now were received.
    pub fn on_list_current(&mut self) {
        self.is_current = true;
    }

    /// Whether changes of the list would be known by now.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.is_current
    }

    /// Records that the store was restored from a copy that lacks its latest writes.
    pub fn on_store_restored(&mut self, now: Duration) {
        self.available_since = Some(now);
        self.is_restored = true;
    }

    /// Records that a server has said in a response that it is leaving.
    pub fn on_leaving_response(&mut self, key: ServerKey, now: Duration) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.server.is_leaving = true;
            self.retired.insert(&entry.server, Source::Response, now);
        }
        self.update_usable(key);
    }

    /// Returns the software versions of all announced servers, with their services.
    pub fn versions(&self) -> impl Iterator<Item = (&str, &str)> {
        self.all()
            .map(|server| (server.service.as_str(), server.software_version.as_str()))
    }

    /// Adds or updates a server. Returns whether a known server has restarted: its start time or
    /// address differs.
    pub fn announce(&mut self, mut server: Server) -> bool {
        if self.retired.source(&server) == Some(Source::Response) {
            server.is_leaving = true;
        }
        let is_restart = self.get(server.key).is_some_and(|previous| {
            previous.started_unix_ms != server.started_unix_ms || previous.address != server.address
        });
        let entry = Entry {
            server,
            missing_since: None,
        };
        let key = entry.server.key;
        self.entries.insert(key, entry);
        self.update_usable(key);
        is_restart
    }

    /// Handles the end of an announcement. Returns whether the server is removed at once.
    pub fn withdraw(&mut self, id: &str, now: Duration) -> bool {
        let Some(key) = self.key_of(id) else {
            return false;
        };
        if self.is_settled(now) {
            if let Some(entry) = self.entries.remove(&key) {
                self.retired
                    .insert(&entry.server, Source::Announcement, now);
            }
            self.update_usable(key);
            return true;
        }
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.missing_since.get_or_insert(now);
        }
        false
    }

    /// Applies a complete list; servers that are not on it are withdrawn.
    pub fn replace(&mut self, servers: Vec<Server>, now: Duration) {
        let listed: Vec<ServerKey> = servers.iter().map(|server| server.key).collect();
        for entry in self.entries.values() {
            if entry.server.is_leaving {
                self.retired
                    .insert(&entry.server, Source::Announcement, now);
            }
        }
        for mut server in servers {
            if self.is_restored && self.retired.source(&server).is_some() {
                server.is_leaving = true;
            }
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

    /// Removes a server that is known to have left its address.
    pub fn remove(&mut self, key: ServerKey) {
        self.entries.remove(&key);
        self.update_usable(key);
    }

    /// Removes servers with an expired announcement once the list has been available for the settle
    /// time.
    pub fn expire(&mut self, now: Duration) {
        self.retired.expire(now);
        if self.is_settled(now) {
            self.is_restored = false;
            let missing: Vec<ServerKey> = self
                .entries
                .iter()
                .filter(|(_, entry)| entry.missing_since.is_some())
                .map(|(key, _)| *key)
                .collect();
            for key in missing {
                if let Some(entry) = self.entries.remove(&key) {
                    self.retired
                        .insert(&entry.server, Source::Announcement, now);
                }
                self.update_usable(key);
            }
        }
    }

    /// Returns the server with this key, also one that is leaving.
    #[must_use]
    pub fn get(&self, key: ServerKey) -> Option<&Server> {
        self.entries.get(&key).map(|entry| &entry.server)
    }

    /// Returns all servers in key order, including leaving ones and those with an expired
    /// announcement.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.entries.values().map(|entry| &entry.server)
    }

    /// Returns the servers of a service that accept new requests.
    pub fn usable(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.usable_keys(service)
            .iter()
            .filter_map(|key| self.get(*key))
    }

    /// Returns the sorted keys of the servers of a service that accept new requests.
    pub(crate) fn usable_keys(&self, service: &str) -> &[ServerKey] {
        self.usable.get(service).map_or(&[], Vec::as_slice)
    }

    /// Applies a change of a server to the keys of those that accept new requests.
    fn update_usable(&mut self, key: ServerKey) {
        for keys in self.usable.values_mut() {
            if let Ok(index) = keys.binary_search(&key) {
                keys.remove(index);
            }
        }
        self.usable.retain(|_, keys| !keys.is_empty());
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if !entry.server.is_leaving {
            let keys = self.usable.entry(entry.server.service.clone()).or_default();
            let index = keys.partition_point(|other| *other < key);
            keys.insert(index, key);
        }
    }

    fn key_of(&self, id: &str) -> Option<ServerKey> {
        self.all()
            .find(|server| server.id == id)
            .map(|server| server.key)
    }

    fn is_settled(&self, now: Duration) -> bool {
        self.available_since
            .is_some_and(|since| now.saturating_sub(since) >= self.settle_time)
    }
}
