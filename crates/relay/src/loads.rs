//! Exchange of loads with the owners of servers.

use {
    crate::{
        core::Core,
        gossip::{
            GossipMessage, HolderAnswer, LoadAnswer, LoadQuery, Owned, PartUpdate, PermitAnswer,
            PermitQuery, QueryNumber, ServerAnswer, StreamQuery,
        },
        idle_connections::ConnectionReuse,
        limits,
        owners::{OwnerReport, QueryOutcome, group_by_owner},
        streams,
    },
    baobab_origin::Lookup,
    baobab_place::{
        Part, PartHolder, PartId, PeerReport, Placement, PlacementError, PlacementRequest, Prompt,
        ServerKey,
    },
    baobab_unit::HostId,
    std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Other routers from which on loads are exchanged with owners. In smaller fleets every router
/// tells all others, several times during the prefill of one prompt.
const MIN_PEERS: usize = 20;
/// Time allowed for the answers of owners: a few round trips between failure domains.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Delay of a report, so that changes at the same time take one datagram.
const REPORT_DELAY: Duration = Duration::from_millis(4);
/// Time allowed for the answer on a stream, which has no substitute.
const STREAM_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Time allowed for the answers that an overloaded router does not wait for.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which an overloaded router asks for the loads of some servers, by which it estimates
/// those of all others.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum prompt parts per datagram.
const MAX_PARTS: usize = 48;

/// Whether this router asks the owners of servers for their load.
pub fn asks_owners(core: &Core) -> bool {
    core.peer_directory.borrow().fleet_size() > MIN_PEERS
}

/// Chooses a server among a sample, by the load that the owners know.
pub async fn place(
    core: &Rc<Core>,
    request: &PlacementRequest<'_>,
    round: u32,
    reuse: ConnectionReuse,
) -> Result<Placement, PlacementError> {
    let mut sample = core.placer.borrow().sample(request, round, core.now())?;
    // Answers would reach an overloaded router late, and each wait delays the request further.
    let is_overloaded = core.overload.borrow().is_overloaded();
    if is_overloaded {
        let queries = queries(core, &sample, None);
        if request.prompt.is_some() && !queries.is_empty() && is_sample_due(core) {
            let core = Rc::clone(core);
            spawn_local(async move {
                // The answers are late because of this router, so owners do not count as silent.
                send_queries(&core, &[], queries, SAMPLE_TIMEOUT).await;
            });
        }
    } else {
        ask(core, request, &sample).await;
    }
    let placer = core.placer.borrow();
    let is_known = sample.iter().any(|server| placer.peers.has_answer(*server));
    if is_overloaded || !is_known {
        let known = placer.known_servers(request, &sample, core.now())?;
        if !known.is_empty() {
            sample = known;
        }
    }
    let connected = core.pool.connected_servers(&sample, reuse);
    let request = PlacementRequest {
        sample: Some(&sample),
        connected: connected.as_deref(),
        ..*request
    };
    placer.place(&request, core.now())
}

/// Whether an overloaded router asks for loads again; if so, it does.
fn is_sample_due(core: &Core) -> bool {
    let now = core.now();
    let is_due = now >= core.sampled_at.get() + SAMPLE_INTERVAL;
    if is_due {
        core.sampled_at.set(now);
    }
    is_due
}

/// Asks the owners of servers for their load, and the owner of the prompt's last shared part where it
/// is cached, and waits for the answers.
async fn ask(core: &Core, request: &PlacementRequest<'_>, servers: &[ServerKey]) {
    let shared = request.prompt.map_or(&[][..], Prompt::shared);
    let part = shared.last().map(|part| part.id);
    let queries = queries(core, servers, part);
    if let Some(part) = part {
        let now = core.now();
        let holders = core.part_directory.borrow().holders(part, now);
        record_holders(core, shared, &holders);
    }
    if queries.is_empty() {
        return;
    }
    let outcome = send_queries(core, shared, queries, ANSWER_TIMEOUT).await;
    record_missed_answers(core, &outcome);
}

/// Asks the owner of a server for the permit to send it one request. Returns none if it does not
/// answer in time.
pub async fn ask_permit(core: &Core, host: HostId, permit: PermitQuery) -> Option<PermitAnswer> {
    let query = LoadQuery {
        number: 0,
        servers: Vec::new(),
        part: None,
        permit: Some(permit),
        stream: None,
    };
    let queries = BTreeMap::from([(host, query)]);
    let outcome = send_queries(core, &[], queries, ANSWER_TIMEOUT).await;
    record_missed_answers(core, &outcome);
    outcome.permit
}

/// Asks the owner of the streams which version began one. Returns none if it does not answer in time.
pub async fn ask_stream(core: &Core, host: HostId, stream: StreamQuery) -> Option<Lookup> {
    let query = LoadQuery {
        number: 0,
        servers: Vec::new(),
        part: None,
        permit: None,
        stream: Some(stream),
    };
    let queries = BTreeMap::from([(host, query)]);
    let outcome = send_queries(core, &[], queries, STREAM_ANSWER_TIMEOUT).await;
    record_missed_answers(core, &outcome);
    outcome.stream
}

/// Records which routers have not answered in time.
fn record_missed_answers(core: &Core, outcome: &QueryOutcome) {
    let now = core.now();
    let mut peer_directory = core.peer_directory.borrow_mut();
    for host in &outcome.missing {
        peer_directory.on_missed_answer(*host, now);
    }
}

/// Sends questions to routers and waits for their answers.
async fn send_queries(
    core: &Core,
    shared: &[Part],
    queries: BTreeMap<HostId, LoadQuery>,
    answer_timeout: Duration,
) -> QueryOutcome {
    let (number, answered) = core
        .owners
        .borrow_mut()
        .open(shared.to_vec(), queries.keys().copied().collect());
    for (host, query) in queries {
        let Some(address) = core.peer_directory.borrow().address(host) else {
            continue;
        };
        let message = GossipMessage {
            query: Some(LoadQuery { number, ..query }),
            ..GossipMessage::default()
        };
        core.socket.send(&message, &[address], &core.metrics);
    }
    let question = OpenQuestion { core, number };
    let outcome = match timeout(answer_timeout, answered.notified()).await {
        Ok(()) => "answered",
        Err(_) => "timed_out",
    };
    core.metrics
        .load_queries
        .with_label_values(&[outcome])
        .inc();
    question.close()
}

/// A question that waits for answers. Dropping it, as when its caller leaves, closes it.
struct OpenQuestion<'a> {
    core: &'a Core,
    number: QueryNumber,
}

impl OpenQuestion<'_> {
    /// Closes the question.
    fn close(self) -> QueryOutcome {
        self.core.owners.borrow_mut().close(self.number)
    }
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.core.owners.borrow_mut().close(self.number);
    }
}

/// Returns the questions by the asked router, without a number.
fn queries(
    core: &Core,
    servers: &[ServerKey],
    part: Option<PartId>,
) -> BTreeMap<HostId, LoadQuery> {
    let peer_directory = core.peer_directory.borrow();
    let mut placer = core.placer.borrow_mut();
    let now = core.now();
    let mut queries: BTreeMap<HostId, LoadQuery> = BTreeMap::new();
    let empty = || LoadQuery {
        number: 0,
        servers: Vec::new(),
        part: None,
        permit: None,
        stream: None,
    };
    for &server in servers {
        match peer_directory.owner(Owned::Server(server), now) {
            Some(host) => queries
                .entry(host)
                .or_insert_with(empty)
                .servers
                .push(server),
            None => placer.peers.on_owned(server),
        }
    }
    if let Some(host) = part.and_then(|part| peer_directory.owner(Owned::Part(part), now)) {
        queries.entry(host).or_insert_with(empty).part = part;
    }
    queries
}

/// Answers a question of another router.
pub fn on_query(core: &Core, host: HostId, query: &LoadQuery) {
    let Some(address) = core.peer_directory.borrow().address(host) else {
        return;
    };
    let now = core.now();
    let permit = query
        .permit
        .as_ref()
        .map(|permit| limits::on_permit_query(core, host, permit));
    let stream = query
        .stream
        .as_ref()
        .map(|query| streams::on_query(core, query));
    let placer = core.placer.borrow();
    let server_answer = |&server: &ServerKey| ServerAnswer {
        server,
        load: placer.load_without(host, server),
    };
    let holders = query.part.map_or_else(Vec::new, |part| {
        core.part_directory.borrow().holders(part, now)
    });
    let holder_answer = |holder: PartHolder| HolderAnswer {
        server: holder.server,
        age: now.saturating_sub(holder.used_at),
    };
    let message = GossipMessage {
        answer: Some(LoadAnswer {
            number: query.number,
            servers: query.servers.iter().map(server_answer).collect(),
            holders: holders.into_iter().map(holder_answer).collect(),
            permit,
            stream,
            limits: query
                .servers
                .iter()
                .chain(query.permit.as_ref().map(|permit| &permit.server))
                .map(|&server| (server, placer.limits.notice(server)))
                .filter(|(_, notice)| notice.version > 0)
                .collect(),
        }),
        ..GossipMessage::default()
    };
    core.socket.send(&message, &[address], &core.metrics);
}

/// Records that engines have the shared parts of a prompt cached. An engine that has the last one
/// has those before it.
fn record_holders(core: &Core, shared: &[Part], holders: &[PartHolder]) {
    let mut placer = core.placer.borrow_mut();
    for holder in holders {
        for part in shared {
            placer.on_peer_part(holder.server, *part, holder.used_at);
        }
    }
}

/// Applies an answer. Loads are used also if they come too late for their question: a router that is
/// slow would else know none.
pub fn on_answer(core: &Core, host: HostId, answer: &LoadAnswer) {
    let parts = core.owners.borrow_mut().on_answer(host, answer);
    let now = core.now();
    limits::on_notices(core, host, &answer.limits);
    let mut placer = core.placer.borrow_mut();
    for server_answer in &answer.servers {
        let load = server_answer.load;
        placer.on_load_answer(server_answer.server, load, now);
    }
    drop(placer);
    let Some(parts) = parts else {
        return;
    };
    let holders: Vec<PartHolder> = answer
        .holders
        .iter()
        .map(|holder| PartHolder {
            server: holder.server,
            used_at: now.saturating_sub(holder.age),
        })
        .collect();
    record_holders(core, &parts, &holders);
}

/// Reports changed loads to the owners until the task is dropped.
pub async fn report_changes(core: Rc<Core>) {
    loop {
        core.loads_changed.notified().await;
        if asks_owners(&core) {
            sleep(REPORT_DELAY).await;
            report(&core, false);
        }
    }
}

/// Reports this router's loads to the owners of the servers: the changed ones, or all of them.
pub fn report(core: &Core, is_full: bool) {
    let now = core.now();
    let (loads, parts) = {
        let mut placer = core.placer.borrow_mut();
        (
            placer.take_loads(is_full),
            placer.take_unreported_parts(usize::MAX),
        )
    };
    let peer_directory = core.peer_directory.borrow();
    for (server, part) in &parts {
        if peer_directory.owner(Owned::Part(part.id), now).is_none() {
            core.part_directory
                .borrow_mut()
                .on_use(part.id, *server, now);
        }
    }
    let mut reports = group_by_owner(
        loads,
        &parts,
        |server| peer_directory.owner(Owned::Server(server), now),
        |part| peer_directory.owner(Owned::Part(part), now),
    );
    core.owners
        .borrow_mut()
        .complete(&mut reports, is_full, now);
    for (host, report) in reports {
        if let Some(address) = peer_directory.address(host) {
            send_report(core, address, report, is_full);
        }
    }
}

fn send_report(core: &Core, address: SocketAddr, report: OwnerReport, is_full: bool) {
    let mut parts: Vec<PartUpdate> = report
        .parts
        .into_iter()
        .map(|(server, part)| PartUpdate { server, part })
        .collect();
    let mut message = GossipMessage {
        report: PeerReport {
            replaces_loads: is_full,
            loads: report.loads,
            ..PeerReport::default()
        },
        ..GossipMessage::default()
    };
    loop {
        let rest = parts.split_off(parts.len().min(MAX_PARTS));
        message.parts = parts;
        core.socket.send(&message, &[address], &core.metrics);
        if rest.is_empty() {
            return;
        }
        parts = rest;
        message = GossipMessage::default();
    }
}
