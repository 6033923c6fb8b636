//! Sends a request to one server.

use {
    super::{
        active_connection::ActiveConnection,
        body_end::BodyEnd,
        counted_send::CountedSend,
        cut_upload::check_cut_upload,
        end_check::EndedResponse,
        exchange::Exchange,
        headers::remove_hop_headers,
        job::Job,
        keep_alive::KeepAlive,
        load_guard::LoadGuard,
        run_check::{RunCheck, check_run},
    },
    crate::{
        core::Core,
        evidence::{self, AnswerBeginning},
        header_codec::{ForwardHeaders, LimitNotice, ResponseOrigin},
        idle_connections::ConnectionReuse,
        limits,
        pool::OpenError,
        streams,
    },
    baobab_availability::MAX_PERMIT_AGE,
    baobab_client::{Connection, SendError},
    baobab_place::{Placement, Placer, ServerOutcome},
    baobab_routing::RetrySafety,
    baobab_unit::millis,
    http::{Request, response},
    http_body_util::Full,
    hyper::body::Incoming,
    quick_error::quick_error,
    std::{net::SocketAddr, ops::RangeInclusive, rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Statuses of HTTP (RFC 9110, section 15). The HTTP library also takes those from 600 to 999.
const HTTP_STATUSES: RangeInclusive<u16> = 100..=599;

/// The head of a response, and the exchange that reads its body.
pub struct ServerResponse {
    /// Status and headers.
    pub head: response::Parts,
    /// Reads the body.
    pub exchange: Exchange,
}

quick_error! {
    /// Why an attempt got no response.
    #[derive(Debug)]
    pub enum AttemptError {
        /// No byte of the request was sent.
        NotSent(reason: String) {
            display("nothing was sent: {reason}")
        }
        /// After the server was chosen, it began to leave, asked for no requests or got a limit, or its domain was
        /// evacuated.
        Unavailable {
            display("the server is leaving, evacuated or limited, or has asked for no requests")
        }
        /// All connections that the router may have to the server are in use.
        NoConnection(max_connections: usize) {
            display("all {max_connections} connections to the server are in use")
        }
        /// The server reports that it has not run the request.
        NotRun {
            display("the server has not run the request")
        }
        /// Another server has the address; the request has not run.
        WrongServer {
            display("another server has the address")
        }
        /// The server closed the connection before the head of a response; the request may have run.
        Closed(reason: String) {
            display("the request may have run: {reason}")
        }
        /// The request may have run.
        Lost(reason: String) {
            display("the request may have run: {reason}")
        }
    }
}

impl AttemptError {
    /// Whether the server may have run the request.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Closed(_) | Self::Lost(_))
    }
}

/// Sends a request to the chosen server and waits for the head of its response.
pub async fn attempt(
    core: &Rc<Core>,
    job: &Job,
    placement: Placement,
    resume_after: Option<&str>,
) -> Result<ServerResponse, AttemptError> {
    let fetch_from = placement.fetch_from;
    let load_guard = LoadGuard::acquire(core, placement, job);
    if fetch_from.is_some() {
        core.metrics
            .fetches
            .with_label_values(&[job.service.as_str()])
            .inc();
    }
    match send(core, job, &load_guard, fetch_from, resume_after).await {
        Ok((active, head, body)) => check_response(core, job, load_guard, active, head, body),
        Err(error) => {
            if matches!(error, AttemptError::Closed(_)) {
                let crash = evidence::awaited_crash(core, job, &load_guard);
                evidence::on_crash(core, crash);
            }
            let outcome = match error {
                AttemptError::NotSent(_) => ServerOutcome::Unreachable,
                AttemptError::NoConnection(_) | AttemptError::Unavailable => ServerOutcome::Full,
                _ => ServerOutcome::Failure,
            };
            load_guard.finish(outcome);
            Err(error)
        }
    }
}

async fn send(
    core: &Rc<Core>,
    job: &Job,
    load_guard: &LoadGuard,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<&str>,
) -> Result<(ActiveConnection, response::Parts, Incoming), AttemptError> {
    let server = &load_guard.server;
    let on_closed = || {
        let now = core.now();
        core.placer.borrow_mut().on_connection_lost(server.key, now);
    };
    let reuse = ConnectionReuse::from(job.route.retry_safety);
    let mut idle = core.pool.take(server.key, reuse, on_closed);
    loop {
        let was_idle = idle.is_some();
        let idle_for = idle.as_ref().map(Connection::idle_for);
        let connection = match idle.take() {
            Some(connection) => connection,
            None => open(core, load_guard).await?,
        };
        let mut active = ActiveConnection::new(core, server.key, connection, was_idle);
        let run_check = check_if_due(core, job, load_guard, &mut active).await?;
        if run_check == RunCheck::Failed {
            if was_idle {
                continue;
            }
            active = ActiveConnection::new(core, server.key, open(core, load_guard).await?, false);
        }
        if !is_accepted(core, job, load_guard, run_check) {
            return Err(AttemptError::Unavailable);
        }
        let request = build_request(core, job, load_guard, fetch_from, resume_after);
        let counted_send = CountedSend::begin(core, job);
        let sent_at = Instant::now();
        let result = active.send(request).await;
        if matches!(result, Err(SendError::NotSent(_))) {
            counted_send.take_back();
        }
        let is_explained = || {
            let idle_for = idle_for.map(|idle_for| idle_for + sent_at.elapsed());
            idle_for.is_some_and(|idle_for| core.pool.on_closed_in_use(server.key, idle_for))
        };
        match result {
            Ok(response) => {
                if active.is_reused {
                    core.metrics.connections.on_reused(&server.service);
                }
                let (head, body) = response.into_parts();
                return Ok((active, head, body));
            }
            // An idle connection that the server has closed; nothing was sent on it.
            Err(SendError::NotSent(_)) if was_idle => {
                if !is_explained() {
                    on_closed();
                }
            }
            Err(SendError::NotSent(reason)) => return Err(AttemptError::NotSent(reason)),
            Err(SendError::Closed(reason)) if !active.is_request_written() => {
                let crash = evidence::awaited_crash(core, job, load_guard);
                let ended = EndedResponse::of(load_guard, sent_at, 0);
                check_cut_upload(core, ended, |core| evidence::on_crash(core, crash));
                return Err(AttemptError::Lost(reason));
            }
            Err(SendError::Closed(reason)) => {
                if !is_explained() {
                    let now = core.now();
                    core.placer.borrow_mut().on_request_lost(server.key, now);
                }
                core.pool.shorten(server.key);
                return Err(AttemptError::Closed(reason));
            }
            Err(SendError::Lost(reason)) => {
                core.pool.shorten_all();
                return Err(AttemptError::Lost(reason));
            }
        }
    }
}

/// Finds out whether the announced run of the chosen server is at the other end of the connection: if a
/// stream is to go on there, or to begin while that is in doubt.
async fn check_if_due(
    core: &Core,
    job: &Job,
    load_guard: &LoadGuard,
    active: &mut ActiveConnection,
) -> Result<RunCheck, AttemptError> {
    let server = &load_guard.server;
    let is_resumable = job.route.retry_safety == RetrySafety::ResumableStream;
    let is_to_be_asked = || {
        let placer = core.placer.borrow();
        placer.is_to_be_asked(server.key, core.now())
    };
    let is_due = job.version.get().is_some() || active.run().is_some() || is_to_be_asked();
    if !is_resumable || !is_due {
        return Ok(RunCheck::Unknown);
    }
    let asked_at = core.now();
    let run_check = check_run(core, server, active).await;
    let mut placer = core.placer.borrow_mut();
    match run_check {
        RunCheck::Announced => placer.on_run_shown(server.key, asked_at),
        RunCheck::Other => {
            placer.on_other_run(server.key, core.now());
            return Err(AttemptError::Unavailable);
        }
        RunCheck::Unknown | RunCheck::Failed => placer.on_run_not_shown(server.key, core.now()),
    }
    Ok(run_check)
}

/// Whether the chosen server may still get the request.
fn is_accepted(core: &Core, job: &Job, load_guard: &LoadGuard, run_check: RunCheck) -> bool {
    let placer = core.placer.borrow();
    let server = load_guard.server.key;
    let now = core.now();
    let is_version_sure = job.version.get().is_none_or(|version| {
        let is_of_version = load_guard.server.software_version == *version;
        let is_sure = is_of_version && run_check == RunCheck::Announced;
        (is_sure || placer.is_surely(server, version, now))
            && !streams::is_doubtful(core, job.stream_key())
    });
    is_version_sure && placer.accepts(server, now) && has_permit(&placer, load_guard, now)
}

/// Whether the limit of the chosen server allows the request, which may have waited for a connection.
fn has_permit(placer: &Placer, load_guard: &LoadGuard, now: Duration) -> bool {
    let server = load_guard.server.key;
    match load_guard.permit_asked_at {
        None => !placer.limits.is_limited(server),
        Some(asked_at) => {
            !placer.limits.is_cold(server) || now.saturating_sub(asked_at) <= MAX_PERMIT_AGE
        }
    }
}

async fn open(core: &Rc<Core>, load_guard: &LoadGuard) -> Result<Connection, AttemptError> {
    core.metrics.connections.on_open(&load_guard.server.service);
    core.pool
        .open(&load_guard.server, load_guard.limits.max_busy)
        .await
        .map_err(|error| match error {
            OpenError::AllInUse(max_connections) => AttemptError::NoConnection(max_connections),
            OpenError::Refused(error) => AttemptError::NotSent(error.to_string()),
        })
}

fn build_request(
    core: &Core,
    job: &Job,
    load_guard: &LoadGuard,
    fetch_from: Option<SocketAddr>,
    resume_after: Option<&str>,
) -> Request<Full<bytes::Bytes>> {
    let mut request = Request::new(Full::new(job.body.borrow().clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    *request.headers_mut() = job.headers.clone();
    let forward_headers = ForwardHeaders {
        timeout: Some(job.time_left()),
        server: &load_guard.server.id,
        workspace: job.caller.as_ref().map(|caller| caller.name.as_str()),
        fetch_from,
        resume_after,
    };
    core.header_codec
        .encode_request(request.headers_mut(), &forward_headers);
    request
}

fn check_response(
    core: &Rc<Core>,
    job: &Job,
    load_guard: LoadGuard,
    mut active: ActiveConnection,
    mut head: response::Parts,
    body: Incoming,
) -> Result<ServerResponse, AttemptError> {
    let origin = core
        .header_codec
        .classify_response(&job.id, &head, active.is_reused);
    let is_http = HTTP_STATUSES.contains(&head.status.as_u16());
    if is_http && matches!(origin, ResponseOrigin::Genuine | ResponseOrigin::NotRun) {
        apply_notices(core, &load_guard, &head);
        load_guard.on_answer();
    }
    let keep_alive = KeepAlive::from(&head);
    let body_end = BodyEnd::of(&head, &body);
    let error = match origin {
        _ if !is_http => {
            AttemptError::Lost(format!("{} is no status of HTTP", head.status.as_u16()))
        }
        ResponseOrigin::Genuine => {
            remove_hop_headers(&mut head.headers);
            let Some(connection) = active.release() else {
                return Err(AttemptError::Lost("the connection is closed".to_owned()));
            };
            let beginning = head
                .status
                .is_success()
                .then(|| AnswerBeginning::of(job, &load_guard));
            let exchange = Exchange::new(
                core, connection, body, load_guard, keep_alive, body_end, beginning,
            );
            return Ok(ServerResponse { head, exchange });
        }
        ResponseOrigin::NotRun => AttemptError::NotRun,
        ResponseOrigin::WrongServer => AttemptError::WrongServer,
        ResponseOrigin::Foreign => AttemptError::Lost(
            "the response belongs to another request or was altered in transit".to_owned(),
        ),
    };
    // Closes the connection: further bytes on it belong to no request.
    drop(active);
    load_guard.finish(match error {
        AttemptError::NotRun => ServerOutcome::Full,
        AttemptError::WrongServer => ServerOutcome::Unreachable,
        _ => ServerOutcome::Failure,
    });
    Err(error)
}

/// Applies what the server says of itself. Responses of other servers must not get here.
fn apply_notices(core: &Core, load_guard: &LoadGuard, head: &response::Parts) {
    let notices = core.header_codec.decode_notices(head);
    let server = &load_guard.server;
    let now = core.now();
    if notices.is_leaving {
        let mut placer = core.placer.borrow_mut();
        let is_new = placer
            .registry
            .get(server.key)
            .is_some_and(|known| !known.is_leaving);
        placer.registry.on_leaving_response(server.key, now);
        drop(placer);
        core.pool.close_idle(server.key);
        if is_new {
            log::info!(server = server.id.as_str(); "server says that it is leaving");
        }
    }
    if let Some(backoff) = notices.backoff {
        core.placer
            .borrow_mut()
            .on_backoff(server.key, backoff, now);
        log::info!(server = server.id.as_str(), backoff_ms = millis(backoff); "server asks for no requests");
    }
    match notices.limit {
        LimitNotice::None => limits::on_response(core, server.key, None),
        LimitNotice::Limit(limit_per_s) => {
            limits::on_response(core, server.key, Some(limit_per_s));
        }
        LimitNotice::Unreadable => {
            log::warn!(server = server.id.as_str(); "server names a limit that cannot be read");
        }
    }
}
