//! What a router knows of the begin of streams.

use {
    crate::{
        Note, RecordRow, ServiceName, SoftwareVersion, StreamKey, VersionOf, journal::Journal,
        note::Kept, versions::Versions,
    },
    std::{
        collections::{BTreeSet, HashMap, VecDeque},
        time::Duration,
    },
};

/// Time for which a server's announcement may lag behind its start: a stream that began this long before
/// another version was announced may have begun at either.
const ANNOUNCEMENT_LAG: Duration = Duration::from_secs(3);
/// Minimum time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Time after a failed write before the next one.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of kept notes; the oldest are dropped, and their streams refused.
const MAX_NOTES: usize = 40_000;
/// Maximum number of notes that wait to be told to the owner.
const MAX_UNTOLD: usize = 4_096;

/// What is known of the version that began a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Lookup {
    /// This version began it.
    Known(SoftwareVersion),
    /// It cannot be known.
    Unknown,
    /// What the store holds has not been read yet.
    NotRead,
}

/// Rows to write to the store, and versions whose rows are to be removed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Write {
    /// Rows to write.
    pub rows: Vec<RecordRow>,
    /// Versions to remove.
    pub removed: Vec<VersionOf>,
}

/// A write whose result is not known.
#[derive(Debug)]
struct PendingWrite {
    versions: Vec<VersionOf>,
    removed: Vec<VersionOf>,
    note_count: Option<usize>,
    is_restoration: bool,
}

/// Knowledge of one router. The owner of the streams also keeps what the others tell it, and writes it.
#[derive(Debug)]
pub struct Origins {
    versions: Versions,
    notes: HashMap<StreamKey, Kept>,
    order: VecDeque<(Duration, StreamKey)>,
    untold: VecDeque<Note>,
    journal: Journal,
    /// Whether the recorded versions were read from the store or told by the owner.
    has_versions: bool,
    /// Whether this run has read the rows of the store.
    has_rows: bool,
    /// Whether all versions are to be written again.
    is_restored: bool,
    pending: Option<PendingWrite>,
    write_at: Duration,
    /// Time for which notes and versions that are no longer announced are kept.
    retention: Duration,
}

impl Origins {
    /// Creates an empty state. Notes are kept for `retention` after their stream began or was taken up;
    /// no stream is quiet for longer.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self {
            versions: Versions::default(),
            notes: HashMap::new(),
            order: VecDeque::new(),
            untold: VecDeque::new(),
            journal: Journal::default(),
            has_versions: false,
            has_rows: false,
            is_restored: false,
            pending: None,
            write_at: Duration::ZERO,
            retention,
        }
    }

    /// Sets which versions are announced.
    pub fn set_announced(&mut self, announced: BTreeSet<VersionOf>, now: Duration) {
        let before = self.versions.services_with_several();
        self.versions.set_announced(announced, now);
        self.tell_if_new(&before);
    }

    /// Returns the versions of a service that may begin streams now. Before the recorded ones are known,
    /// that is the announced one if there is only one.
    #[must_use]
    pub fn beginning(&self, service: &str) -> Vec<SoftwareVersion> {
        if !self.has_versions && self.versions.announced_count(service) > 1 {
            return Vec::new();
        }
        self.versions.beginning(service)
    }

    /// Whether the recorded versions are known, and all announced ones are recorded.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.has_versions && self.versions.unrecorded().is_empty()
    }

    /// Records that a version has begun a stream here, or goes on with it.
    pub fn on_begun(&mut self, note: Note, now: Duration) {
        let has_several = note
            .version
            .as_ref()
            .is_some_and(|of| self.versions.has_several(&of.service));
        if has_several {
            self.tell(note.clone());
        }
        self.keep(note, now);
    }

    /// Records what another router tells this one. The owner of the streams also writes it.
    pub fn on_told(&mut self, notes: Vec<Note>, is_owner: bool, now: Duration) {
        for note in notes {
            if is_owner {
                self.record(note, now);
            } else {
                self.keep(note, now);
            }
        }
    }

    /// Records that a server has started again as another version. Streams that began there lately may
    /// have begun at either.
    pub fn on_other_version(&mut self, server: u32, now: Duration) {
        let since = now.saturating_sub(ANNOUNCEMENT_LAG);
        let doubtful: Vec<StreamKey> = self
            .notes
            .values()
            .filter(|kept| kept.note.server == server && kept.at >= since)
            .map(|kept| kept.note.stream)
            .collect();
        for stream in doubtful {
            let note = Note {
                stream,
                version: None,
                server,
            };
            self.tell(note.clone());
            self.keep(note, now);
        }
    }

    /// Returns what this router knows of a stream by its own notes.
    #[must_use]
    pub fn noted(&self, stream: StreamKey) -> Option<Lookup> {
        let kept = self.notes.get(&stream)?;
        Some(match &kept.note.version {
            Some(of) => Lookup::Known(of.version.clone()),
            None => Lookup::Unknown,
        })
    }

    /// Returns what is known of a stream, as the owner of the streams. A stream without a key is one whose
    /// caller does not name it.
    #[must_use]
    pub fn look_up(&self, stream: Option<StreamKey>, service: &str) -> Lookup {
        if let Some(noted) = stream.and_then(|stream| self.noted(stream)) {
            return noted;
        }
        if !self.has_rows {
            return Lookup::NotRead;
        }
        match self.versions.sole(service) {
            Some(of) => Lookup::Known(of.version.clone()),
            None => Lookup::Unknown,
        }
    }

    /// Removes and returns up to `max` notes that the owner of the streams has to be told.
    pub fn take_untold(&mut self, max: usize) -> Vec<Note> {
        let count = self.untold.len().min(max);
        self.untold.drain(..count).collect()
    }

    /// Records that another router owns the streams now, or this one: it has to be told all that
    /// began here lately.
    pub fn on_owner_changed(&mut self) {
        let newest = |(at, stream): &(Duration, StreamKey)| {
            let kept = self.notes.get(stream).filter(|kept| kept.at == *at)?;
            Some(kept.note.clone())
        };
        let notes: Vec<Note> = self.order.iter().filter_map(newest).collect();
        self.untold.clear();
        for note in notes {
            self.tell(note);
        }
    }

    /// Records the notes that wait to be told, at the owner itself.
    pub fn tell_self(&mut self, now: Duration) {
        for note in self.take_untold(usize::MAX) {
            self.record(note, now);
        }
    }

    /// Whether this run has not read the store's rows yet.
    #[must_use]
    pub fn needs_rows(&self) -> bool {
        !self.has_rows
    }

    /// Records the rows of the store. `is_own` says whether a row was written by this host.
    pub fn on_rows(&mut self, rows: Vec<(RecordRow, bool)>, now: Duration) {
        for (row, is_own) in rows {
            match row {
                RecordRow::Version(version) => self.versions.on_recorded(version, now),
                RecordRow::Notes { number, notes } => {
                    if is_own && !self.has_rows {
                        self.journal.on_earlier_row(number);
                    }
                    for note in notes {
                        // What this run has seen is newer; a doubt stays.
                        if note.version.is_none() || !self.notes.contains_key(&note.stream) {
                            self.keep(note, now);
                        }
                    }
                }
            }
        }
        self.has_rows = true;
        self.has_versions = true;
    }

    /// Returns the recorded versions, for the other routers, if this router has read them.
    #[must_use]
    pub fn recorded_versions(&self) -> Option<Vec<VersionOf>> {
        self.has_rows.then(|| self.versions.recorded())
    }

    /// Records the versions that the owner of the streams tells.
    pub fn on_recorded_versions(&mut self, versions: Vec<VersionOf>, now: Duration) {
        let before = self.versions.services_with_several();
        self.versions.replace_recorded(versions, now);
        self.has_versions = true;
        self.tell_if_new(&before);
    }

    /// Records that the store was restored from a copy, which may lack what was written.
    pub fn on_store_restored(&mut self) {
        self.is_restored = true;
    }

    /// Returns what to write now, as the owner of the streams, if anything.
    pub fn write(&mut self, now: Duration) -> Option<Write> {
        if self.pending.is_some() || !self.has_rows || now < self.write_at {
            return None;
        }
        let mut versions = self.versions.unrecorded();
        let is_restoration = std::mem::take(&mut self.is_restored);
        if is_restoration {
            versions.extend(self.versions.recorded());
            self.on_owner_changed();
            self.tell_self(now);
        }
        let removed = self.versions.outdated(self.retention, now);
        let notes = self.journal.take_changed();
        if versions.is_empty() && removed.is_empty() && notes.is_none() {
            return None;
        }
        let note_count = match &notes {
            Some(RecordRow::Notes { notes, .. }) => Some(notes.len()),
            _ => None,
        };
        let rows = versions.iter().cloned().map(RecordRow::Version);
        let write = Write {
            rows: rows.chain(notes).collect(),
            removed: removed.clone(),
        };
        self.pending = Some(PendingWrite {
            versions,
            removed,
            note_count,
            is_restoration,
        });
        self.write_at = now + WRITE_INTERVAL;
        Some(write)
    }

    /// Records the result of the last write.
    pub fn on_written(&mut self, is_written: bool, now: Duration) {
        let Some(pending) = self.pending.take() else {
            return;
        };
        if !is_written {
            self.write_at = now + RETRY_INTERVAL;
            self.is_restored |= pending.is_restoration;
            if pending.note_count.is_some() {
                self.journal.on_failed();
            }
            return;
        }
        for version in pending.versions {
            self.versions.on_recorded(version, now);
        }
        for version in &pending.removed {
            self.versions.on_removed(version);
        }
        if let Some(count) = pending.note_count {
            self.journal.on_written(count, now);
        }
    }

    /// Forgets notes that are older than the retention.
    pub fn expire(&mut self, now: Duration) {
        while let Some(&(at, stream)) = self.order.front() {
            let is_old = now.saturating_sub(at) > self.retention;
            if !is_old && self.order.len() <= MAX_NOTES {
                return;
            }
            self.order.pop_front();
            if self.notes.get(&stream).is_some_and(|kept| kept.at == at) {
                self.notes.remove(&stream);
            }
        }
    }

    /// Sets the time for which notes are kept.
    pub fn set_retention(&mut self, retention: Duration) {
        self.retention = retention;
    }

    /// Keeps a note as the owner, and writes it unless it is known.
    fn record(&mut self, note: Note, now: Duration) {
        let is_doubt = note.version.is_none();
        let has_several = note
            .version
            .as_ref()
            .is_some_and(|of| self.versions.has_several(&of.service));
        if is_doubt || has_several {
            self.journal.add(note.clone(), now);
        }
        self.keep(note, now);
    }

    fn keep(&mut self, note: Note, now: Duration) {
        let stream = note.stream;
        // A doubt about the server stays.
        if note.version.is_some()
            && self
                .notes
                .get(&stream)
                .is_some_and(|kept| kept.note.version.is_none())
        {
            return;
        }
        self.notes.insert(stream, Kept { note, at: now });
        self.order.push_back((now, stream));
        self.expire(now);
    }

    fn tell(&mut self, note: Note) {
        if self.untold.len() >= MAX_UNTOLD {
            self.untold.pop_front();
        }
        self.untold.push_back(note);
    }

    /// Tells the owner of all streams that began here, if a service has several versions now and had one.
    fn tell_if_new(&mut self, before: &BTreeSet<ServiceName>) {
        let now = self.versions.services_with_several();
        if now.difference(before).next().is_some() {
            self.on_owner_changed();
        }
    }
}
