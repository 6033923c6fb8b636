//! `POST /v1/chat/completions`.

use {
    super::{
        chat_response::ChatResponse,
        completion::ChatRequest,
        problem::{Executed, Problem},
        queueing::{self, GrantedRequest, QueueError, SchedulingParams},
    },
    crate::{
        context::AppContext,
        control::{Command, QueueReason, SlotGrant, StreamEnd, StreamOutcome},
    },
    baobab_audit::Decision,
    baobab_engine::{EngineError, GenerationRequest, StreamEvent, TokenStream},
    baobab_web::ResponseWriter,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Maximum retries of one request after engine failures.
const MAX_RETRIES: u32 = 4;
/// `Retry-After` of a response that was lost.
const RESPONSE_LOST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An authenticated and validated chat request.
pub struct ChatCall {
    /// Request identifier, unique in the fleet.
    pub id: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Fields of the request.
    pub request: ChatRequest,
    /// Body to send to engines.
    pub engine_body: Vec<u8>,
    /// Parameters for the queue.
    pub params: SchedulingParams,
}

/// Outcome of a chat request.
pub enum ChatOutcome {
    /// The response was sent as complete.
    Complete {
        /// Tokens received from engines.
        tokens: u64,
    },
    /// The caller disconnected.
    CallerGone,
    /// The request was refused or failed with this problem.
    Refused(Problem),
}

/// How an attempt with one engine ended.
enum AttemptEnd {
    Complete,
    CallerGone,
    Failed(EngineError),
    Expired,
    Revoked,
}

/// Serves a request: waits for a slot and streams the response, with retries on other slots.
pub fn serve(context: &AppContext, call: &ChatCall, writer: ResponseWriter) -> ChatOutcome {
    let model = call.request.model.clone();
    let mut response = ChatResponse::new(&call.id, &model, call.request.stream, writer);
    let mut params = call.params;
    let mut failed_attempts = 0;
    let mut tokens = 0;
    // Stays `No` until a byte of the request has left this host.
    let mut executed = Executed::No;
    loop {
        let granted =
            match queueing::wait_for_grant(context, params, executed, || response.is_closed()) {
                Ok(granted) => granted,
                Err(QueueError::CallerGone) => return ChatOutcome::CallerGone,
                Err(QueueError::Refused(problem)) => {
                    response.fail(problem);
                    return ChatOutcome::Refused(problem);
                }
            };
        context.audit.record(Decision::Granted {
            request: call.id.clone(),
            engine: granted.grant.engine_name.clone(),
        });
        let (unfinished, end) = run_attempt(context, call, &granted, response);
        tokens += granted.grant.progress.load(Ordering::Relaxed);
        match (unfinished, end) {
            (None, AttemptEnd::Complete) => return ChatOutcome::Complete { tokens },
            (None, _) | (_, AttemptEnd::CallerGone) => return ChatOutcome::CallerGone,
            (Some(unfinished), AttemptEnd::Failed(error)) => {
                response = unfinished;
                record_retry(context, call, error.reason());
                if !matches!(error, EngineError::Unreachable(_)) {
                    executed = Executed::Unknown;
                }
                failed_attempts += 1;
                if failed_attempts > MAX_RETRIES {
                    let problem = response_lost(executed);
                    response.fail(problem);
                    return ChatOutcome::Refused(problem);
                }
                params.reason = QueueReason::Retry;
            }
            (Some(unfinished), AttemptEnd::Expired | AttemptEnd::Complete) => {
                response = unfinished;
                record_retry(context, call, "grant_expired");
                params.reason = QueueReason::GrantLost;
            }
            (Some(unfinished), AttemptEnd::Revoked) => {
                response = unfinished;
                record_retry(context, call, "revoked");
                params.reason = QueueReason::GrantLost;
                executed = Executed::Unknown;
            }
        }
    }
}

fn response_lost(executed: Executed) -> Problem {
    Problem {
        executed,
        retry_after: Some(RESPONSE_LOST_RETRY_AFTER),
        ..Problem::ANSWER_LOST
    }
}

fn record_retry(context: &AppContext, call: &ChatCall, reason: &str) {
    context.metrics.retries.with_label_values(&[reason]).inc();
    context.audit.record(Decision::Retried {
        request: call.id.clone(),
        reason: reason.to_owned(),
    });
}

/// Sends the request to one engine and forwards its tokens to the caller. Returns the unfinished
/// response, if any, and reports the end of the stream to the control thread.
fn run_attempt<'a>(
    context: &AppContext,
    call: &ChatCall,
    granted: &GrantedRequest,
    response: ChatResponse<'a>,
) -> (Option<ChatResponse<'a>>, AttemptEnd) {
    let tokens_before = response.tokens();
    let (unfinished, end) = open_and_forward(context, call, &granted.grant, response);
    let received = granted.grant.progress.load(Ordering::Relaxed);
    debug_assert!(
        unfinished
            .as_ref()
            .is_none_or(|unfinished| unfinished.tokens() == tokens_before + received)
    );
    let outcome = match end {
        AttemptEnd::Complete | AttemptEnd::CallerGone | AttemptEnd::Revoked => {
            StreamOutcome::EngineOk
        }
        AttemptEnd::Failed(_) => StreamOutcome::EngineFailed,
        AttemptEnd::Expired => StreamOutcome::NotSent,
    };
    context.send_command(Command::StreamEnded(StreamEnd {
        id: granted.id,
        outcome,
        tokens: received,
    }));
    (unfinished, end)
}

fn open_and_forward<'a>(
    context: &AppContext,
    call: &ChatCall,
    grant: &SlotGrant,
    response: ChatResponse<'a>,
) -> (Option<ChatResponse<'a>>, AttemptEnd) {
    // The grant may have expired while the process was paused.
    if context.clock.now() >= grant.expires {
        return (Some(response), AttemptEnd::Expired);
    }
    let address = context.connect_address(grant.address);
    let generation = GenerationRequest {
        id: call.id.clone(),
        body: call.engine_body.clone(),
        offset: response.tokens(),
    };
    let mut tokens = match context.engines.open(address, &generation) {
        Ok(tokens) => tokens,
        Err(error) => return (Some(response), AttemptEnd::Failed(error)),
    };
    let (unfinished, end) = forward_tokens(context, grant, response, tokens.as_mut());
    if !matches!(end, AttemptEnd::Complete) {
        drop(tokens);
        context.engines.cancel(address, &call.id);
    }
    (unfinished, end)
}

fn forward_tokens<'a>(
    context: &AppContext,
    grant: &SlotGrant,
    mut response: ChatResponse<'a>,
    tokens: &mut dyn TokenStream,
) -> (Option<ChatResponse<'a>>, AttemptEnd) {
    loop {
        let event = match tokens.next() {
            Ok(event) => event,
            Err(error) => return (Some(response), AttemptEnd::Failed(error)),
        };
        match event {
            StreamEvent::End => {
                let end = match response.finish() {
                    Ok(()) => AttemptEnd::Complete,
                    Err(_) => AttemptEnd::CallerGone,
                };
                return (None, end);
            }
            // This token was received in an earlier attempt.
            StreamEvent::Token { index, .. } if index < response.tokens() => {}
            StreamEvent::Token { index, .. } if index > response.tokens() => {
                let error = EngineError::Broken(format!("token {} is missing", response.tokens()));
                return (Some(response), AttemptEnd::Failed(error));
            }
            StreamEvent::Token { text, .. } => {
                if response.is_closed() {
                    return (None, AttemptEnd::CallerGone);
                }
                if grant.revoked.load(Ordering::Relaxed) {
                    return (Some(response), AttemptEnd::Revoked);
                }
                response = match response.push_token(&text) {
                    Ok(response) => response,
                    Err(_) => return (None, AttemptEnd::CallerGone),
                };
                grant.progress.fetch_add(1, Ordering::Relaxed);
                context.metrics.tokens.inc();
            }
        }
    }
}
