//! Sends a request to a server, and retries at others if allowed.

use {
    super::{
        admission::{place, refund, share_basis},
        attempt::{AttemptError, attempt},
        attempts::Attempts,
        buffering::buffer_response,
        exchange::Exchange,
        job::Job,
        problem::{Problem, Reason},
        retry_after::{RefusalCause, retry_after},
        waiting::{MAX_OVERLAP, WaitingAttempt, WaitingAttempts, WaitingEvent},
    },
    crate::{core::Core, retries, streams},
    baobab_place::{Placement, ServerKey},
    baobab_routing::RetrySafety,
    baobab_unit::millis,
    bytes::Bytes,
    http::{StatusCode, response},
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Servers that are unreachable or have no free connection, after which a request fails.
const MAX_UNREACHABLE: u32 = 4;
/// Time until another server is looked for again beside a silent one.
const NEXT_PLACE_DELAY: Duration = Duration::from_millis(500);
/// Multiple of the latency objective after which a request without a response is also sent to another
/// server.
const STALL_OBJECTIVE_FACTOR: f64 = 2.0;
/// The same, as a multiple of the predicted time to the first event. The longer timeout applies.
const STALL_PREDICTION_FACTOR: f64 = 3.0;

/// A server's 5xx response, passed on if no other server responds.
type FailedResponse = (response::Parts, Bytes);

/// A response of a server that is forwarded to the caller.
pub enum ForwardedResponse {
    /// The whole response.
    Buffered(response::Parts, Bytes),
    /// The head, and the exchange that reads the body.
    Stream(response::Parts, Box<Exchange>),
}

/// Sends a request until a server responds, as often as its route and the retry budget allow. The
/// first attempt goes to `placement`, or to a server chosen here if that is none.
///
/// A silent server may be sound, so its attempt is kept until another server has accepted the
/// request.
pub async fn dispatch(
    core: &Rc<Core>,
    job: &Job,
    attempts: &Attempts,
    resume_after: Option<&str>,
    placement: Option<Placement>,
) -> Result<ForwardedResponse, Problem> {
    let mut failed_response: Option<Box<FailedResponse>> = None;
    let mut waiting = WaitingAttempts::new(max_overlap(job));
    let mut next = match placement {
        Some(placement) => Ok(placement),
        None => place(core, job, attempts).await,
    };
    loop {
        match next {
            Ok(placement) => waiting.push(send(core, job, attempts, resume_after, placement)),
            Err(problem) if waiting.is_empty() => {
                return final_response(job, failed_response, problem);
            }
            Err(_) => {}
        }
        let (server, result) = match waiting.next().await {
            WaitingEvent::Ended(server, result) => (server, *result),
            WaitingEvent::Silent(server) => {
                let placement = place_beside(core, job, attempts, server).await;
                if placement.is_none() {
                    waiting.wait_until(Instant::now() + NEXT_PLACE_DELAY);
                }
                next = placement.ok_or(Problem::new(Reason::ServerFailed));
                continue;
            }
        };
        let result = match result {
            Ok(response) => {
                if response.head.status.is_success() {
                    waiting.on_success();
                }
                buffer_response(core, job, attempts, &waiting, response)
                    .await
                    .map_err(AttemptError::Lost)
            }
            Err(error) => Err(error),
        };
        let may_retry = match result
            .map(|response| response_or_failure(response, !waiting.is_empty()))
        {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(failed)) => {
                if failed.0.status != StatusCode::SERVICE_UNAVAILABLE {
                    job.may_have_run.set(true);
                }
                failed_response = Some(failed);
                may_retry_response(core, job, attempts, &waiting)
            }
            Err(error) => {
                log::info!(id = job.id.as_str(), server, miss = error.to_string().as_str(); "attempt failed");
                on_attempt_error(core, job, attempts, &error, server, &waiting)
            }
        };
        next = match may_retry {
            Ok(()) => place(core, job, attempts).await,
            Err(problem) => Err(problem),
        };
    }
}

/// Returns how long two servers may work on a request, or none if it may run at several.
fn max_overlap(job: &Job) -> Option<Duration> {
    (job.engine.is_some() || job.route.retry_safety.is_stream()).then_some(MAX_OVERLAP)
}

/// Returns another server for a request whose server is silent, if its route, the servers' load and
/// the retry budget allow one.
pub async fn place_beside(
    core: &Rc<Core>,
    job: &Job,
    attempts: &Attempts,
    silent: ServerKey,
) -> Option<Placement> {
    if job.was_sent() {
        job.may_have_run.set(true);
    }
    if attempts.is_first_silence(silent) {
        core.on_silence(&job.service, silent);
    }
    let placement = if attempts.sent() < job.route.max_attempts && retries::may_retry(core, job) {
        place(core, job, attempts).await.ok()
    } else {
        None
    };
    let placement = placement.filter(|_| retries::try_retry(core, job, "server_silent"));
    log::info!(
        id = job.id.as_str(),
        server = silent,
        attempt = attempts.sent(),
        time_left_ms = millis(job.time_left()),
        has_other = placement.is_some();
        "server is silent"
    );
    placement
}

/// Begins an attempt.
fn send<'a>(
    core: &'a Rc<Core>,
    job: &'a Job,
    attempts: &Attempts,
    resume_after: Option<&'a str>,
    placement: Placement,
) -> WaitingAttempt<'a> {
    let server = placement.server.key;
    attempts.begin(server);
    let basis = share_basis(core, job);
    log::info!(
        id = job.id.as_str(),
        server = placement.server.id.as_str(),
        workspace = job.workspace_name(),
        claim_tokens = job.claim_tokens(),
        standing:? = job.charged_as.get(),
        share = basis.share,
        requested = basis.total.requested,
        served = basis.total.served,
        balance = basis.balance,
        attempt = attempts.sent(),
        time_left_ms = millis(job.time_left()),
        foretold_ms = placement.predicted_first_event.as_millis(),
        unread = placement.prefill_tokens,
        held = placement.cached_tokens,
        most_held = placement.max_cached_tokens,
        fetches = placement.fetch_from.is_some(),
        has_permit = placement.permit_asked_at.is_some();
        "request is sent"
    );
    let silence_timeout = silence_timeout(job, attempts, &placement);
    WaitingAttempt {
        server,
        silent_at: silence_timeout.map(|timeout| Instant::now() + timeout),
        response: Box::pin(attempt(core, job, placement, resume_after)),
    }
}

/// Returns how long to wait for a response before the request is also sent to another server, or
/// none if that is not allowed.
fn silence_timeout(job: &Job, attempts: &Attempts, placement: &Placement) -> Option<Duration> {
    let has_another = attempts.sent() < job.route.max_attempts;
    if !job.route.retry_safety.is_retryable() || !has_another {
        return None;
    }
    let by_objective = job.route.objective.mul_f64(STALL_OBJECTIVE_FACTOR);
    let by_prediction = placement
        .predicted_first_event
        .mul_f64(STALL_PREDICTION_FACTOR);
    Some(by_objective.max(by_prediction))
}

/// Returns a server's 5xx response as the error, and any refusal while another attempt waits.
fn response_or_failure(
    response: ForwardedResponse,
    has_another: bool,
) -> Result<ForwardedResponse, Box<FailedResponse>> {
    match response {
        ForwardedResponse::Buffered(head, body)
            if head.status.is_server_error() || (has_another && promises_not_run(head.status)) =>
        {
            Err(Box::new((head, body)))
        }
        response => Ok(response),
    }
}

/// Returns `Ok` if a request with a failed response is to be retried at another server.
fn may_retry_response(
    core: &Core,
    job: &Job,
    attempts: &Attempts,
    waiting: &WaitingAttempts,
) -> Result<(), Problem> {
    let may_retry = waiting.is_empty()
        && job.route.retry_safety.is_retryable()
        && attempts.sent() < job.route.max_attempts
        && retries::try_retry(core, job, "server_error");
    if may_retry {
        Ok(())
    } else {
        Err(Problem::new(Reason::ServerFailed))
    }
}

/// Returns `Ok` if the request is to be retried at another server.
fn on_attempt_error(
    core: &Core,
    job: &Job,
    attempts: &Attempts,
    error: &AttemptError,
    server: ServerKey,
    waiting: &WaitingAttempts,
) -> Result<(), Problem> {
    if error.may_have_run() {
        job.may_have_run.set(true);
    } else if !job.may_have_run.get() {
        refund(core, job);
    }
    let (reason, may_retry) = match error {
        AttemptError::NotSent(_) | AttemptError::NoConnection(_) | AttemptError::Unavailable => {
            if attempts.on_unsent() < MAX_UNREACHABLE && waiting.is_empty() {
                return Ok(());
            }
            (Reason::Unreachable, false)
        }
        AttemptError::WrongServer => {
            core.placer.borrow_mut().registry.remove(server);
            core.pool.close_idle(server);
            (Reason::ServersRefused, true)
        }
        AttemptError::NotRun => (Reason::ServersRefused, true),
        AttemptError::Closed(_) | AttemptError::Lost(_) => {
            (Reason::ServerFailed, job.route.retry_safety.is_retryable())
        }
    };
    let has_another = attempts.sent() < job.route.max_attempts;
    if may_retry
        && has_another
        && waiting.is_empty()
        && retries::try_retry(core, job, reason.code())
    {
        return Ok(());
    }
    Err(final_problem(core, job, reason))
}

fn final_problem(core: &Core, job: &Job, reason: Reason) -> Problem {
    if job.may_have_run.get() {
        return Problem::new(Reason::ServerFailed);
    }
    let cause = RefusalCause::Busy {
        available_in: Duration::ZERO,
    };
    Problem::with_retry_after(
        reason,
        retry_after(cause, job.time_left(), core.random_fraction()),
    )
}

/// Returns the server's failed response, if there is one, or `problem`, but neither if it would
/// wrongly say that the request has not run.
fn final_response(
    job: &Job,
    failed_response: Option<Box<FailedResponse>>,
    problem: Problem,
) -> Result<ForwardedResponse, Problem> {
    let may_have_run = job.may_have_run.get();
    match failed_response {
        Some(failed) if !(may_have_run && promises_not_run(failed.0.status)) => {
            let (head, body) = *failed;
            Ok(ForwardedResponse::Buffered(head, body))
        }
        _ if may_have_run && promises_not_run(problem.reason.status()) => {
            Err(Problem::new(Reason::ServerFailed))
        }
        _ => Err(problem),
    }
}

/// Whether a status promises that the request has not run and never will.
#[must_use]
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Whether a broken stream may resume at another server.
#[must_use]
pub fn may_resume(core: &Core, job: &Job, attempts: &Attempts) -> bool {
    job.route.retry_safety == RetrySafety::ResumableStream
        && !streams::is_doubtful(core, job.stream_key())
        && attempts.sent() < job.route.max_attempts
        && retries::try_retry(core, job, "stream_broken")
}
