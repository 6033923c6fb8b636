//! Keeps short responses until they are complete.

use {
    super::{
        attempt::ServerResponse,
        attempts::Attempts,
        dispatch::{ForwardedResponse, promises_not_run},
        job::Job,
        kept::KeptBytes,
        waiting::WaitingAttempts,
    },
    crate::{core::Core, retries},
    baobab_place::ServerOutcome,
    http::{
        StatusCode,
        header::{CONTENT_LENGTH, RETRY_AFTER},
        response,
    },
    std::{future::poll_fn, rc::Rc},
};

/// Responses up to this size are kept before they are passed on, so that the request can be retried if
/// they break off.
const MAX_KEPT_BYTES: u64 = 256 * 1024;
/// The same without `content-length`; longer ones are given up.
const MAX_UNDECLARED_BYTES: u64 = 4 * MAX_KEPT_BYTES;

/// Keeps a short response until it is complete. Streams, long responses and those beyond the share of the
/// memory are passed on as they arrive.
pub async fn buffer_response(
    core: &Rc<Core>,
    job: &Job,
    attempts: &Attempts,
    waiting: &WaitingAttempts<'_>,
    response: ServerResponse,
) -> Result<ForwardedResponse, String> {
    let ServerResponse { head, mut exchange } = response;
    let length = head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse::<u64>().ok());
    let is_stream = job.route.retry_safety.is_stream() && head.status.is_success();
    if is_stream || length.is_some_and(|length| length > MAX_KEPT_BYTES) {
        return Ok(ForwardedResponse::Stream(head, Box::new(exchange)));
    }
    if length.is_none() {
        exchange.limit(MAX_UNDECLARED_BYTES);
    }
    let mut body = KeptBytes::new(&core.kept);
    while let Some(data) = poll_fn(|context| exchange.poll_data(context)).await {
        match data {
            Ok(data) => body.push(&data),
            Err(reason) => {
                exchange.finish(ServerOutcome::Failure);
                return Err(reason);
            }
        }
        if body.is_within_share() {
            continue;
        }
        let is_given_up = has_alternative(core, job, attempts, waiting, head.status);
        let outcome = if is_given_up { "given_up" } else { "passed_on" };
        on_not_kept(core, job, outcome, body.len());
        if is_given_up {
            exchange.finish(ServerOutcome::Failure);
            return Err("a failure's body exceeds the memory for responses".to_owned());
        }
        exchange.put_back(body.take());
        return Ok(ForwardedResponse::Stream(head, Box::new(exchange)));
    }
    if !head.status.is_server_error()
        && let Err(reason) = poll_fn(|context| exchange.poll_end(context)).await
    {
        exchange.finish(ServerOutcome::Failure);
        return Err(reason);
    }
    exchange.finish(outcome_of(&head));
    Ok(ForwardedResponse::Buffered(head, body.take()))
}

/// Returns what a complete response with this head says of its server.
#[must_use]
pub fn outcome_of(head: &response::Parts) -> ServerOutcome {
    let is_turned_away =
        head.status == StatusCode::SERVICE_UNAVAILABLE && head.headers.contains_key(RETRY_AFTER);
    if is_turned_away {
        ServerOutcome::Full
    } else if head.status.is_server_error() {
        ServerOutcome::Failure
    } else {
        ServerOutcome::Success
    }
}

/// Records that a response, or an event of a stream, was not kept whole.
pub fn on_not_kept(core: &Core, job: &Job, outcome: &str, kept_bytes: usize) {
    core.metrics.not_kept.with_label_values(&[outcome]).inc();
    log::info!(
        id = job.id.as_str(),
        outcome,
        kept_bytes,
        all_kept_bytes = core.metrics.kept_bytes.get();
        "response is not kept"
    );
}

/// Whether the request may have the response of another server in place of a failure.
fn has_alternative(
    core: &Core,
    job: &Job,
    attempts: &Attempts,
    waiting: &WaitingAttempts,
    status: StatusCode,
) -> bool {
    if !waiting.is_empty() {
        return status.is_server_error() || promises_not_run(status);
    }
    status.is_server_error()
        && job.route.retry_safety.is_retryable()
        && attempts.sent() < job.route.max_attempts
        && retries::may_retry(core, job)
}
