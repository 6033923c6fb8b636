//! Checks the head of a request, and creates its job or the problem to respond with.

use {
    crate::{
        core::{Core, Phase},
        forward::{
            Caller, Job, Problem, Reason, RefusalCause, TakenUpStream, key_of, remove_hop_headers,
            retry_after,
        },
        header_codec::RequestHeaders,
    },
    baobab_overload::Arrival,
    baobab_quarantine::RequestKey,
    baobab_routing::{Configuration, ConfirmationState, Route, find_route},
    baobab_unit::id_of,
    http::{header::HOST, request},
    std::{
        cell::{Cell, OnceCell, RefCell},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Delay before a retry at a router whose configuration is missing or unconfirmed.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Delay before a retry at another router.
const OTHER_ROUTER_RETRY_AFTER: Duration = Duration::from_millis(60);
/// Minimum fraction of the route's timeout that a caller has left at its first attempt. A caller
/// with less has been refused before, and its response will be late.
const FIRST_ATTEMPT_TIMEOUT_FRACTION: f64 = 0.845;
/// Expected time to the first event of a stream, at a router that is stopping.
const EXPECTED_FIRST_EVENT: Duration = Duration::from_millis(500);
/// Expected time per generated token.
const EXPECTED_TIME_PER_TOKEN: Duration = Duration::from_millis(15);
/// Part of the grace period that is reserved for shutdown.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Checks a head against the active configuration and creates the job, without its body.
pub fn admit(
    core: &Core,
    head: request::Parts,
    request_headers: RequestHeaders,
    arrived: Instant,
) -> Result<Job, Problem> {
    let (configuration, confirmation_state) = core.configuration();
    let Some(configuration) = configuration else {
        return Err(refusal(core, Reason::NoConfiguration, &request_headers));
    };
    let Some(route) = match_route(&configuration, &head) else {
        let reason = reason_if_confirmed(confirmation_state, Reason::NoRoute);
        return Err(refusal(core, reason, &request_headers));
    };
    let caller = match authenticate(&configuration, route, &request_headers, confirmation_state) {
        Ok(caller) => caller,
        Err(reason) => return Err(refusal(core, reason, &request_headers)),
    };
    let timeout = request_headers
        .timeout
        .map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let service = choose_service(route, core.random_fraction());
    let declared = configuration.services.get(&service);
    let mut headers = head.headers;
    remove_hop_headers(&mut headers);
    core.header_codec.strip(&mut headers);
    let job = Job {
        key: request_key(&request_headers.id),
        id: request_headers.id,
        content_key: Cell::default(),
        method: head.method,
        uri: head.uri,
        headers,
        body: RefCell::default(),
        max_connections: declared.map_or(u32::MAX, |service| service.max_connections),
        min_objective: declared.map_or(Duration::MAX, |service| service.min_objective),
        engine: declared.and_then(|service| service.engine.clone()),
        route: route.clone(),
        service,
        caller,
        prompt: request_headers.prompt,
        is_late: timeout < route.timeout.mul_f64(FIRST_ATTEMPT_TIMEOUT_FRACTION),
        take_up: request_headers.take_up.map(|take_up| TakenUpStream {
            key: take_up.begun_by.as_deref().map(request_key),
            last_event: take_up.last_event,
        }),
        version: OnceCell::new(),
        seed: core.random_number(),
        arrived,
        deadline: arrived + timeout,
        charged_as: Cell::new(None),
        may_have_run: Cell::new(false),
        sends: Cell::new(0),
    };
    check_grace(core, &job)?;
    check_overload(core, &job)?;
    Ok(job)
}

/// Returns the key of a request id: the first eight bytes of its BLAKE3 digest.
fn request_key(id: &str) -> RequestKey {
    key_of(&blake3::hash(id.as_bytes()))
}

fn match_route<'a>(
    configuration: &'a Arc<Configuration>,
    head: &request::Parts,
) -> Option<&'a Route> {
    let host = head.headers.get(HOST)?.to_str().ok()?;
    let name = host.split(':').next().unwrap_or(host);
    find_route(configuration, host, head.uri.path())
        .or_else(|| find_route(configuration, name, head.uri.path()))
}

fn authenticate(
    configuration: &Configuration,
    route: &Route,
    request_headers: &RequestHeaders,
    confirmation_state: ConfirmationState,
) -> Result<Option<Caller>, Reason> {
    let Some(keys) = &configuration.keys else {
        return Ok(None);
    };
    if route.is_anonymous {
        return Ok(None);
    }
    let workspace = request_headers.key.as_ref().and_then(|key| keys.get(key));
    let Some(workspace) = workspace else {
        return Err(reason_if_confirmed(confirmation_state, Reason::UnknownKey));
    };
    if confirmation_state != ConfirmationState::Confirmed {
        return Err(Reason::Unconfirmed);
    }
    Ok(Some(Caller {
        name: workspace.name.clone(),
        workspace: id_of(&workspace.name),
    }))
}

/// Replaces `reason` unless the configuration is confirmed: an outdated router cannot know that a
/// request is not allowed.
fn reason_if_confirmed(confirmation_state: ConfirmationState, reason: Reason) -> Reason {
    match confirmation_state {
        ConfirmationState::Confirmed => reason,
        ConfirmationState::Unknown | ConfirmationState::Expired => Reason::Unconfirmed,
    }
}

fn refusal(core: &Core, reason: Reason, request_headers: &RequestHeaders) -> Problem {
    match reason {
        Reason::NoRoute | Reason::UnknownKey => Problem::new(reason),
        _ => {
            let time_left = request_headers
                .timeout
                .unwrap_or(UNCONFIRMED_RETRY_AFTER * 3);
            let delay = retry_after(
                RefusalCause::Temporary(UNCONFIRMED_RETRY_AFTER),
                time_left,
                core.random_fraction(),
            );
            Problem::with_retry_after(reason, delay)
        }
    }
}

fn choose_service(route: &Route, random_fraction: f64) -> String {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut remaining = random_fraction * f64::from(total);
    for target in &route.targets {
        remaining -= f64::from(target.weight);
        if remaining < 0.0 {
            return target.service.clone();
        }
    }
    route
        .targets
        .last()
        .map_or_else(String::new, |target| target.service.clone())
}

/// Refuses requests that a stopping router would probably not finish in time. A stream may break off and go on
/// elsewhere; any other request is taken only if its timeout passes before the process ends.
fn check_grace(core: &Core, job: &Job) -> Result<(), Problem> {
    let Some(grace_left) = core.grace_left() else {
        return Ok(());
    };
    let expected = match &job.prompt {
        Some(prompt) if job.route.retry_safety.is_stream() => {
            let tokens = u32::try_from(prompt.expected_output()).unwrap_or(u32::MAX);
            EXPECTED_FIRST_EVENT + EXPECTED_TIME_PER_TOKEN.saturating_mul(tokens)
        }
        _ => job.time_left(),
    };
    let is_stream_while_draining =
        job.route.retry_safety.is_stream() && core.phase.get() == Phase::Draining;
    if !is_stream_while_draining && expected + GRACE_MARGIN < grace_left {
        return Ok(());
    }
    Err(refuse_to_other_router(core, job, Reason::Stopping))
}

/// Refuses streams and requests to engines at an overloaded router, since other routers can still serve them on time.
fn check_overload(core: &Core, job: &Job) -> Result<(), Problem> {
    if !job.route.retry_safety.is_stream() && job.engine.is_none() {
        return Ok(());
    }
    let workspace = job.workspace();
    let arrival = {
        let shares = core.shares.borrow();
        Arrival {
            workspace,
            is_late: job.is_late,
            is_owed: shares.is_owed(workspace),
            served_fraction: shares.served_fraction(workspace),
        }
    };
    let is_refused = core.shedding.borrow_mut().refuses(
        arrival,
        &core.overload.borrow(),
        core.sheds_to_others(),
        core.random_fraction(),
    );
    core.arrivals.borrow_mut().on_request(workspace, is_refused);
    if is_refused {
        if !job.is_late {
            claim(core, job);
        }
        return Err(refuse_to_other_router(core, job, Reason::Overloaded));
    }
    Ok(())
}

/// Counts what a request claims, and what those claim that were turned away unread meanwhile.
pub fn claim(core: &Core, job: &Job) {
    let Some(caller) = &job.caller else {
        return;
    };
    let connections = core.unread.borrow().connections_per_started();
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let tokens = (job.claim_tokens() as f64 * connections) as u64;
    core.shares.borrow_mut().claim(caller.workspace, tokens);
}

/// Refuses a request with a short delay, since another router can serve it now.
fn refuse_to_other_router(core: &Core, job: &Job, reason: Reason) -> Problem {
    let delay = retry_after(
        RefusalCause::Temporary(OTHER_ROUTER_RETRY_AFTER),
        job.time_left(),
        core.random_fraction(),
    );
    Problem::with_retry_after(reason, delay)
}
