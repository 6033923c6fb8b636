//! Turns a caller's head into a request, or into the reason why it is not served.

use {
    crate::{
        core::{Core, Phase},
        forward::{Caller, Job, Problem, Reason, RetryLoad, remove_hop_headers, retry_after},
        header_codec::RequestHeaders,
    },
    baobab_place::AdmissionClass,
    baobab_routing::{Configuration, ConfirmationState, Route, find_route},
    baobab_unit::id_of,
    http::{header::HOST, request},
    std::{
        cell::{Cell, RefCell},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// When to come back to a router that cannot judge a request yet.
const UNCONFIRMED_PAUSE: Duration = Duration::from_millis(500);
/// When to come back to another router.
const ELSEWHERE_PAUSE: Duration = Duration::from_millis(60);
/// Share of its route's timeout that a caller has at least when it asks for the first time. Who has
/// less has been refused before, and cannot be answered on time any more.
const FRESH_SHARE: f64 = 0.845;
/// Expected time of a stream before its first event, at a router that is about to stop.
const FIRST_EVENT: Duration = Duration::from_millis(500);
/// Expected time of a generated token.
const TOKEN_TIME: Duration = Duration::from_millis(15);
/// Part of the grace that is kept free for ending.
const GRACE_MARGIN: Duration = Duration::from_millis(700);

/// Checks a head against the configuration in force and prepares the request without its body.
pub fn admit(
    core: &Core,
    head: request::Parts,
    request_headers: RequestHeaders,
    arrived: Instant,
) -> Result<Job, Problem> {
    let (configuration, confirmation_state) = core.configuration();
    let Some(configuration) = configuration else {
        return Err(passing(core, Reason::NoConfiguration, &request_headers));
    };
    let Some(route) = route(&configuration, &head) else {
        let reason = judged(confirmation_state, Reason::NoRoute);
        return Err(passing(core, reason, &request_headers));
    };
    let caller = match caller(&configuration, route, &request_headers, confirmation_state) {
        Ok(caller) => caller,
        Err(reason) => return Err(passing(core, reason, &request_headers)),
    };
    let timeout = request_headers
        .timeout
        .map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let service = choose_service(route, core.fraction());
    let declared = configuration.services.get(&service);
    let mut headers = head.headers;
    remove_hop_headers(&mut headers);
    core.header_codec.strip(&mut headers);
    let job = Job {
        id: request_headers.id,
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
        is_late: timeout < route.timeout.mul_f64(FRESH_SHARE),
        arrived,
        ends_at: arrived + timeout,
        charged_as: Cell::new(None),
        may_have_run: Cell::new(false),
        was_sent: Cell::new(false),
    };
    check_grace(core, &job)?;
    check_overload(core, &job)?;
    Ok(job)
}

fn route<'a>(configuration: &'a Arc<Configuration>, head: &request::Parts) -> Option<&'a Route> {
    let host = head.headers.get(HOST)?.to_str().ok()?;
    let name = host.split(':').next().unwrap_or(host);
    find_route(configuration, host, head.uri.path())
        .or_else(|| find_route(configuration, name, head.uri.path()))
}

fn caller(
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
    let known = request_headers.key.as_ref().and_then(|key| keys.get(key));
    let Some(workspace) = known else {
        return Err(judged(confirmation_state, Reason::UnknownKey));
    };
    if confirmation_state != ConfirmationState::Confirmed {
        return Err(Reason::Unconfirmed);
    }
    Ok(Some(Caller {
        name: workspace.name.clone(),
        workspace: id_of(&workspace.name),
    }))
}

/// A router out of touch cannot know that something is not allowed.
fn judged(confirmation_state: ConfirmationState, reason: Reason) -> Reason {
    match confirmation_state {
        ConfirmationState::Confirmed => reason,
        ConfirmationState::Unknown | ConfirmationState::Expired => Reason::Unconfirmed,
    }
}

fn passing(core: &Core, reason: Reason, request_headers: &RequestHeaders) -> Problem {
    match reason {
        Reason::NoRoute | Reason::UnknownKey => Problem::new(reason),
        _ => {
            let left = request_headers.timeout.unwrap_or(UNCONFIRMED_PAUSE * 3);
            let pause = retry_after(RetryLoad::Passing(UNCONFIRMED_PAUSE), left, core.fraction());
            Problem::later(reason, pause)
        }
    }
}

fn choose_service(route: &Route, draw: f64) -> String {
    let total: u32 = route.targets.iter().map(|target| target.weight).sum();
    let mut left = draw * f64::from(total);
    for target in &route.targets {
        left -= f64::from(target.weight);
        if left < 0.0 {
            return target.service.clone();
        }
    }
    route
        .targets
        .last()
        .map_or_else(String::new, |target| target.service.clone())
}

/// A router that is about to stop takes only what it will probably end in time.
fn check_grace(core: &Core, job: &Job) -> Result<(), Problem> {
    let Some(left) = core.grace_left() else {
        return Ok(());
    };
    let expected = match &job.prompt {
        Some(prompt) => {
            let tokens = u32::try_from(prompt.expected_output()).unwrap_or(u32::MAX);
            FIRST_EVENT + TOKEN_TIME.saturating_mul(tokens)
        }
        None => job.route.timeout,
    };
    let is_late_stream = job.route.retry_safety.is_stream() && core.phase.get() == Phase::Draining;
    if !is_late_stream && expected + GRACE_MARGIN < left {
        return Ok(());
    }
    Err(elsewhere(core, job, Reason::Stopping))
}

/// A router that reads late refuses streams, which other routers can still serve on time.
fn check_overload(core: &Core, job: &Job) -> Result<(), Problem> {
    let is_modest = job.caller.as_ref().is_none_or(|caller| {
        core.shares.borrow().admission_class(caller.workspace) == AdmissionClass::Modest
    });
    if !job.route.retry_safety.is_stream() || !core.overload.borrow().refuses_streams(is_modest) {
        return Ok(());
    }
    Err(elsewhere(core, job, Reason::Overloaded))
}

/// Sends a caller to another router, which can serve it now.
fn elsewhere(core: &Core, job: &Job, reason: Reason) -> Problem {
    let pause = retry_after(
        RetryLoad::Passing(ELSEWHERE_PAUSE),
        job.time_left(),
        core.fraction(),
    );
    Problem::later(reason, pause)
}
