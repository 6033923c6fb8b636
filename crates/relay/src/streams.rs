//! Streams of services whose servers run several software versions: exchange with the other routers and
//! the store of which version began each.

use {
    crate::{
        core::Core,
        forward::{Job, Problem, Reason, RefusalCause, retry_after},
        gossip::{GossipMessage, Owned, StreamQuery},
        loads,
        shared::RecordCall,
    },
    baobab_origin::{Contact, Lookup, Note, Origins, RecordRow, Standing, StreamKey, VersionOf},
    baobab_place::{Server, SoftwareVersion},
    baobab_routing::RetrySafety,
    baobab_unit::HostId,
    baobab_watch::suspension_clock,
    std::{collections::BTreeSet, rc::Rc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, timeout_at},
    },
};

/// Minimum time for which it is kept which version began a stream.
const MIN_RETENTION: Duration = Duration::from_secs(20);
/// The same, as a multiple of the longest timeout of any route with resumable streams: the stream itself,
/// and its caller's next attempt.
const RETENTION_TIMEOUTS: u32 = 2;
/// Interval at which the owner of the streams tells the others which versions are recorded.
const VERSIONS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of notes per datagram, so that no link fragments it.
const MAX_NOTES: usize = 48;
/// Time for which a router that knows the servers is not ready, because it does not know the records.
const MAX_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Minimum delay before a retry of a stream that cannot go on.
const MIN_HOPELESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Delay before a retry if the owner has not read the store yet, or does not answer.
const NOT_READ_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Share of the fleet that a router has to hear, itself included, to trust what it knows by gossip.
const MIN_HEARD_SHARE: f64 = 0.5;
/// Time for which a stream that is taken up waits until the store was read.
const MAX_READ_WAIT: Duration = Duration::from_secs(1);

/// State of the exchange.
#[derive(Debug)]
pub struct Streams {
    /// What is known.
    pub origins: Origins,
    owner: Option<HostId>,
    told_at: Duration,
    told_versions: Vec<VersionOf>,
    /// Whether this router has been out of step with the fleet.
    contact: Contact,
    /// When the reading of the rows that is under way was requested, on the suspension clock.
    read_requested_at: Option<Duration>,
    /// The same for the last one that has ended.
    rows_as_of: Option<Duration>,
    rows_read: Rc<Notify>,
    /// When the servers were listed first.
    listed_at: Option<Duration>,
    /// Whether streams can begin and go on here, as far as records decide that.
    pub is_settled: bool,
}

impl Default for Streams {
    fn default() -> Self {
        Self {
            origins: Origins::new(MIN_RETENTION),
            owner: None,
            told_at: Duration::ZERO,
            told_versions: Vec::new(),
            contact: Contact::default(),
            read_requested_at: None,
            rows_as_of: None,
            rows_read: Rc::default(),
            listed_at: None,
            is_settled: false,
        }
    }
}

/// Finds out which version began the stream that a request takes up.
///
/// # Errors
///
/// Fails if that is not known.
pub async fn look_up(
    core: &Core,
    job: &Job,
    stream: Option<StreamKey>,
) -> Result<SoftwareVersion, Problem> {
    let is_known = is_up_to_date(core) || read_rows_now(core).await;
    let now = core.now();
    let noted = stream
        .filter(|_| is_known)
        .and_then(|stream| core.streams.borrow().origins.noted(stream));
    let owner = core.peer_directory.borrow().owner(Owned::Streams, now);
    let (lookup, source) = match (noted, owner) {
        (None, None) if !is_known => (Lookup::NotRead, "own"),
        (Some(noted), _) => (noted, "own"),
        (None, None) => (
            core.streams.borrow().origins.look_up(stream, &job.service),
            "owner",
        ),
        (None, Some(host)) => {
            let query = StreamQuery {
                stream,
                service: job.service.clone(),
            };
            let answer = loads::ask_stream(core, host, query).await;
            let answer = answer.unwrap_or(Lookup::NotRead);
            // In a small fleet every router knows all notes, and what the store holds.
            let is_missing = answer == Lookup::NotRead && !loads::asks_owners(core);
            if is_missing && read_rows_now(core).await {
                let streams = core.streams.borrow();
                (streams.origins.look_up(stream, &job.service), "store")
            } else {
                (answer, "asked")
            }
        }
    };
    log::info!(id = job.id.as_str(), stream:?, lookup:?, source; "stream is taken up");
    let time_left = job.time_left();
    match lookup {
        Lookup::Known(version) => Ok(version),
        Lookup::NotRead => {
            let cause = RefusalCause::Temporary(NOT_READ_RETRY_AFTER);
            let delay = retry_after(cause, time_left, core.random_fraction());
            Err(Problem::with_retry_after(Reason::OriginUnknown, delay))
        }
        Lookup::Unknown => Err(hopeless(Reason::OriginUnknown, time_left)),
    }
}

/// Records whether this router keeps up with the fleet. Returns whether it may answer for streams by
/// what it knows: in a large fleet, a router that is not the owner of the streams asks that one anyway.
fn is_up_to_date(core: &Core) -> bool {
    let standing = step(core);
    let owner = core
        .peer_directory
        .borrow()
        .owner(Owned::Streams, core.now());
    let answers_itself = owner.is_none() || !loads::asks_owners(core);
    let is_in_step = standing == Standing::InStep;
    !answers_itself || (is_in_step && !core.streams.borrow().contact.is_outdated())
}

fn step(core: &Core) -> Standing {
    let now = core.now();
    let mut placer = core.placer.borrow_mut();
    let is_list_current = placer.registry.is_current();
    let (is_listed, heard_share) = {
        let peer_directory = core.peer_directory.borrow();
        (
            peer_directory.is_listed(),
            peer_directory.reachable_share(now),
        )
    };
    let hears_fleet = !is_listed || heard_share > MIN_HEARD_SHARE;
    let mut streams = core.streams.borrow_mut();
    let was_outdated = streams.contact.is_outdated();
    let standing = streams.contact.step(hears_fleet, suspension_clock());
    if standing == Standing::StoodStill || (standing == Standing::CutOff && !is_list_current) {
        placer.on_out_of_step(now);
    }
    if standing != Standing::InStep && !was_outdated {
        log::warn!(standing:?, heard_share, is_list_current; "router is out of step with the fleet");
    }
    standing
}

/// Reads the rows of the store, and waits for them. Returns whether they were read in time; not if the
/// store cannot be reached.
async fn read_rows_now(core: &Core) -> bool {
    let arrived = suspension_clock();
    let deadline = Instant::now() + MAX_READ_WAIT;
    loop {
        let rows_read = {
            let mut streams = core.streams.borrow_mut();
            if streams.rows_as_of.is_some_and(|at| at >= arrived) {
                return true;
            }
            read_rows(core, &mut streams);
            Rc::clone(&streams.rows_read)
        };
        let is_reachable = core.placer.borrow().registry.is_current();
        if !is_reachable || timeout_at(deadline, rows_read.notified()).await.is_err() {
            return false;
        }
    }
}

/// Returns the refusal of a stream that cannot go on. Its caller is told to come back when its time is
/// over: no earlier attempt would find more.
pub fn hopeless(reason: Reason, time_left: Duration) -> Problem {
    Problem::with_retry_after(reason, time_left.max(MIN_HOPELESS_RETRY_AFTER))
}

/// Answers the question of another router.
pub fn on_query(core: &Core, query: &StreamQuery) -> Lookup {
    let is_known = is_up_to_date(core);
    let mut streams = core.streams.borrow_mut();
    if !is_known {
        read_rows(core, &mut streams);
        return Lookup::NotRead;
    }
    streams.origins.look_up(query.stream, &query.service)
}

/// Records that a server's first event of a stream is passed on, or that it goes on with a stream.
pub fn on_begun(core: &Core, stream: StreamKey, server: &Server) {
    let note = Note {
        stream,
        version: Some(VersionOf {
            service: server.service.clone(),
            version: server.software_version.clone(),
        }),
        server: server.key,
    };
    let now = core.now();
    core.streams.borrow_mut().origins.on_begun(note, now);
}

/// Whether the version that began a stream is in doubt, so that no other server may go on with it.
pub fn is_doubtful(core: &Core, stream: StreamKey) -> bool {
    core.streams.borrow().origins.noted(stream) == Some(Lookup::Unknown)
}

/// Records that a server is announced, if it is another version than before under the same id.
pub fn on_announced(core: &Core, previous: Option<&Server>, server: &Server) {
    let is_other =
        previous.is_some_and(|previous| previous.software_version != server.software_version);
    if is_other {
        let now = core.now();
        log::info!(
            server = server.id.as_str(),
            version = server.software_version.as_str();
            "server has started again as another version"
        );
        let mut streams = core.streams.borrow_mut();
        streams.origins.on_other_version(server.key, now);
    }
}

/// Applies what another router tells of streams and versions.
pub fn on_message(core: &Core, host: HostId, message: &mut GossipMessage) {
    let now = core.now();
    let notes = std::mem::take(&mut message.notes);
    let mut streams = core.streams.borrow_mut();
    let owner = core.peer_directory.borrow().owner(Owned::Streams, now);
    if !notes.is_empty() {
        streams.origins.on_told(notes, owner.is_none(), now);
    }
    if let Some(versions) = message.versions.take().filter(|_| owner == Some(host)) {
        streams.origins.on_recorded_versions(versions, now);
    }
}

/// Records the rows of the store.
pub fn on_records(core: &Core, rows: Vec<(RecordRow, bool)>) {
    log::info!(rows = rows.len(); "records of streams are read");
    let now = core.now();
    let mut streams = core.streams.borrow_mut();
    streams.origins.on_rows(rows, now);
    if let Some(requested_at) = streams.read_requested_at.take() {
        streams.rows_as_of = Some(requested_at);
        streams.contact.on_rows(requested_at);
    }
    streams.rows_read.notify_waiters();
}

/// Records the result of a write.
pub fn on_written(core: &Core, is_written: bool) {
    let now = core.now();
    core.streams
        .borrow_mut()
        .origins
        .on_written(is_written, now);
}

/// Exchanges what is new with the owner of the streams, or with the store if this router is the owner.
pub fn tick(core: &Core) {
    let now = core.now();
    let standing = step(core);
    update_announced(core);
    exchange(core, standing, now);
    let mut streams = core.streams.borrow_mut();
    if core.placer.borrow().registry.has_list() {
        streams.listed_at.get_or_insert(now);
    }
    streams.is_settled |= loads::asks_owners(core)
        || streams.origins.is_settled()
        || streams
            .listed_at
            .is_some_and(|at| now.saturating_sub(at) > MAX_SETTLE_TIME);
}

fn exchange(core: &Core, standing: Standing, now: Duration) {
    // Before the routers are listed, each would count itself as the owner.
    if !core.peer_directory.borrow().is_listed() {
        return;
    }
    let owner = core.peer_directory.borrow().owner(Owned::Streams, now);
    let mut streams = core.streams.borrow_mut();
    if streams.owner != owner {
        streams.owner = owner;
        streams.origins.on_owner_changed();
    }
    // In a small fleet every router knows all streams.
    let is_small = !loads::asks_owners(core);
    let is_outdated = standing == Standing::InStep && streams.contact.is_outdated();
    if (is_small || owner.is_none()) && (streams.origins.needs_rows() || is_outdated) {
        read_rows(core, &mut streams);
    }
    if let Some(host) = owner {
        let notes = streams.origins.take_untold(usize::MAX);
        tell(core, &notes, (!is_small).then_some(host), now);
    } else {
        let notes = act_as_owner(core, &mut streams, now);
        if is_small {
            tell(core, &notes, None, now);
        }
    }
}

fn read_rows(core: &Core, streams: &mut Streams) {
    if streams.read_requested_at.is_none() {
        streams.read_requested_at = Some(suspension_clock());
        core.shared.records.send(RecordCall::Read);
    }
}

/// Updates which versions are announced, and for how long streams may go on.
pub fn update_announced(core: &Core) {
    let now = core.now();
    let (Some(configuration), _) = core.configuration() else {
        return;
    };
    let resumable = || {
        configuration
            .routes
            .iter()
            .filter(|route| route.retry_safety == RetrySafety::ResumableStream)
    };
    let services: BTreeSet<&str> = resumable()
        .flat_map(|route| &route.targets)
        .map(|target| target.service.as_str())
        .collect();
    let timeout = resumable().map(|route| route.timeout).max();
    let placer = core.placer.borrow();
    let names: BTreeSet<(&str, &str)> = placer
        .registry
        .versions()
        .filter(|(service, _)| services.contains(service))
        .collect();
    let announced = names
        .into_iter()
        .map(|(service, version)| VersionOf {
            service: service.to_owned(),
            version: version.to_owned(),
        })
        .collect();
    let mut streams = core.streams.borrow_mut();
    let retention = timeout.unwrap_or_default() * RETENTION_TIMEOUTS;
    streams.origins.set_retention(retention.max(MIN_RETENTION));
    streams.origins.set_announced(announced, now);
    streams.origins.expire(now);
}

/// Tells one router, or all of them, which version began streams.
fn tell(core: &Core, notes: &[Note], host: Option<HostId>, now: Duration) {
    if notes.is_empty() {
        return;
    }
    let destinations = match host {
        Some(host) => core
            .peer_directory
            .borrow()
            .address(host)
            .into_iter()
            .collect(),
        None => core.peer_directory.borrow_mut().destinations(now),
    };
    for notes in notes.chunks(MAX_NOTES) {
        let message = GossipMessage {
            notes: notes.to_vec(),
            ..GossipMessage::default()
        };
        core.socket.send(&message, &destinations, &core.metrics);
    }
}

/// Writes what is new, and tells the others which versions are recorded. Returns the notes of this router
/// that the others have not been told.
fn act_as_owner(core: &Core, streams: &mut Streams, now: Duration) -> Vec<Note> {
    if streams.origins.needs_rows() {
        return Vec::new();
    }
    let notes = streams.origins.take_untold(usize::MAX);
    streams.origins.on_told(notes.clone(), true, now);
    if let Some(write) = streams.origins.write(now) {
        core.metrics.stream_writes.inc();
        core.shared.records.send(RecordCall::Write(write));
    }
    let Some(versions) = streams.origins.recorded_versions() else {
        return notes;
    };
    if versions != streams.told_versions || now >= streams.told_at + VERSIONS_INTERVAL {
        streams.told_at = now;
        streams.told_versions.clone_from(&versions);
        let message = GossipMessage {
            versions: Some(versions),
            ..GossipMessage::default()
        };
        let destinations = core.peer_directory.borrow_mut().destinations(now);
        core.socket.send(&message, &destinations, &core.metrics);
    }
    notes
}
