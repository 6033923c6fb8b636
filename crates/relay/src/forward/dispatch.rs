//! Finds a server for a request, and another one where that is allowed.

use {
    super::{
        attempt::{Answer, Miss, attempt},
        exchange::Exchange,
        job::Job,
        problem::{Problem, Reason},
        retry_after::{Load, retry_after},
        room::{place, refund},
    },
    crate::core::Core,
    baobab_place::{Placement, ServerKey, ServerOutcome},
    baobab_routing::RetrySafety,
    baobab_unit::millis,
    bytes::{Bytes, BytesMut},
    http::{header::CONTENT_LENGTH, response},
    std::{future::poll_fn, rc::Rc, time::Duration},
};

/// Answers up to this size are read whole before they are passed on, so that another server can
/// be asked where they break off.
const WHOLE_BYTES: u64 = 256 * 1024;
/// Servers that may be unreachable before a request is given up.
const MOST_UNREACHABLE: u32 = 4;
/// Times the objective after which a silent server is given up for another one.
const STALL_OBJECTIVES: f64 = 2.0;
/// Times the foretold first event after which a silent engine is given up.
const STALL_FORETOLD: f64 = 3.0;
/// What has been tried for a request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Servers that did not answer it.
    pub tried: Vec<ServerKey>,
    /// Times that it was handed to a server.
    pub sent: u32,
    unreachable: u32,
}

/// A server's own failure, which is passed on where no other server does better.
type FailedAnswer = (response::Parts, Bytes);

/// An answer for the caller.
pub enum Reply {
    /// The whole answer.
    Whole(response::Parts, Bytes),
    /// The head and the way to the rest.
    Stream(response::Parts, Box<Exchange>),
}

/// Sends a request until a server answers it, as far as its route and the budget allow.
pub async fn dispatch(
    core: &Rc<Core>,
    job: &Job,
    attempts: &mut Attempts,
    resume_after: Option<&str>,
) -> Result<Reply, Problem> {
    let mut failed_answer: Option<Box<FailedAnswer>> = None;
    loop {
        let placement = match place(core, job, attempts).await {
            Ok(placement) => placement,
            Err(problem) => return last_resort(failed_answer, problem),
        };
        let server = placement.server.key;
        log::info!(
            id = job.id.as_str(),
            server = placement.server.id.as_str(),
            workspace = job.workspace_name(),
            claim_tokens = job.claim_tokens(),
            attempt = attempts.sent + 1,
            time_left_ms = millis(job.time_left()),
            foretold_ms = placement.predicted_first_event.as_millis(),
            unread = placement.uncached_tokens,
            held = placement.cached_tokens,
            most_held = placement.max_cached_tokens,
            fetches = placement.fetch_from.is_some();
            "request is sent"
        );
        let stall = stall(job, attempts, &placement);
        let miss = match attempt(core, job, placement, resume_after, stall).await {
            Ok(answer) => match receive(job, answer).await {
                Ok(reply) => {
                    attempts.sent += 1;
                    match may_replace(core, job, attempts, reply) {
                        Ok(reply) => return Ok(reply),
                        Err(answer) => failed_answer = Some(answer),
                    }
                    attempts.tried.push(server);
                    continue;
                }
                Err(reason) => Miss::Lost(reason),
            },
            Err(miss) => miss,
        };
        log::info!(id = job.id.as_str(), server, miss = miss.to_string().as_str(); "server gave no answer");
        attempts.tried.push(server);
        if let Err(problem) = on_miss(core, job, attempts, &miss, server) {
            return last_resort(failed_answer, problem);
        }
    }
}

/// Returns how long a server may be silent before another one is asked instead.
fn stall(job: &Job, attempts: &Attempts, placement: &Placement) -> Option<Duration> {
    let has_another = attempts.sent + 1 < job.route.max_attempts;
    if !job.route.retry_safety.is_retryable() || !has_another {
        return None;
    }
    let by_objective = job.route.objective.mul_f64(STALL_OBJECTIVES);
    let by_prediction = placement.predicted_first_event.mul_f64(STALL_FORETOLD);
    Some(by_objective.max(by_prediction))
}

/// Reads a short answer whole.
async fn receive(job: &Job, answer: Answer) -> Result<Reply, String> {
    let Answer { head, mut exchange } = answer;
    let length = head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u64>().ok());
    let is_stream = job.route.retry_safety.is_stream() && head.status.is_success();
    if is_stream || length.is_some_and(|length| length > WHOLE_BYTES) {
        return Ok(Reply::Stream(head, Box::new(exchange)));
    }
    let mut body = BytesMut::new();
    while let Some(data) = poll_fn(|context| exchange.poll_data(context)).await {
        match data {
            Ok(data) => body.extend_from_slice(&data),
            Err(reason) => {
                exchange.finish(ServerOutcome::Failure);
                return Err(reason);
            }
        }
        if body.len() as u64 > 4 * WHOLE_BYTES {
            exchange.finish(ServerOutcome::Failure);
            return Err("an answer without length is too long".to_owned());
        }
    }
    let outcome = if head.status.is_server_error() {
        ServerOutcome::Failure
    } else {
        ServerOutcome::Success
    };
    exchange.finish(outcome);
    Ok(Reply::Whole(head, body.freeze()))
}

/// Gives a server's own failure back where another server may do better.
fn may_replace(
    core: &Core,
    job: &Job,
    attempts: &Attempts,
    reply: Reply,
) -> Result<Reply, Box<FailedAnswer>> {
    match reply {
        Reply::Whole(head, body) if head.status.is_server_error() => {
            job.may_have_run.set(true);
            let may_repeat = job.route.retry_safety.is_retryable()
                && attempts.sent < job.route.max_attempts
                && core.try_retry(&job.service, "server_error");
            if may_repeat {
                Err(Box::new((head, body)))
            } else {
                Ok(Reply::Whole(head, body))
            }
        }
        reply => Ok(reply),
    }
}

/// Decides whether a request goes to another server.
fn on_miss(
    core: &Core,
    job: &Job,
    attempts: &mut Attempts,
    miss: &Miss,
    server: ServerKey,
) -> Result<(), Problem> {
    if miss.may_have_run() {
        job.may_have_run.set(true);
    } else if !job.may_have_run.get() {
        refund(core, job);
    }
    let (reason, may_repeat) = match miss {
        Miss::NotSent(_) | Miss::NoConnection(_) => {
            attempts.unreachable += 1;
            if attempts.unreachable < MOST_UNREACHABLE {
                return Ok(());
            }
            (Reason::Unreachable, false)
        }
        Miss::WrongServer => {
            core.placer.borrow_mut().registry.remove(server);
            core.pool.forget(server);
            attempts.sent += 1;
            (Reason::ServersRefused, true)
        }
        Miss::NotRun => {
            attempts.sent += 1;
            (Reason::ServersRefused, true)
        }
        Miss::Lost(_) | Miss::Stalled => {
            attempts.sent += 1;
            (Reason::ServerFailed, job.route.retry_safety.is_retryable())
        }
    };
    let has_another = attempts.sent < job.route.max_attempts;
    if may_repeat && has_another && core.try_retry(&job.service, reason.code()) {
        return Ok(());
    }
    Err(final_problem(core, job, reason))
}

fn final_problem(core: &Core, job: &Job, reason: Reason) -> Problem {
    if job.may_have_run.get() {
        return Problem::new(Reason::ServerFailed);
    }
    let load = Load::Busy {
        room_in: Duration::ZERO,
    };
    Problem::later(reason, retry_after(load, job.time_left(), core.fraction()))
}

/// Prefers a server's own failure to one of ours, and never promises what is not known.
fn last_resort(
    failed_answer: Option<Box<FailedAnswer>>,
    problem: Problem,
) -> Result<Reply, Problem> {
    match failed_answer {
        Some(answer) => {
            let (head, body) = *answer;
            Ok(Reply::Whole(head, body))
        }
        None => Err(problem),
    }
}

/// Tells whether a stream that broke off may go on at another server.
#[must_use]
pub fn may_resume(core: &Core, job: &Job, attempts: &Attempts) -> bool {
    job.route.retry_safety == RetrySafety::ResumableStream
        && attempts.sent < job.route.max_attempts
        && core.try_retry(&job.service, "stream_broken")
}
