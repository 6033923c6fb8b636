//! `POST /v1/chat/completions`.

use {
    super::{
        answer::Answer,
        completion::ChatRequest,
        problem::{Problem, Ran},
        turn::{self, Claim, Granted, NoTurn},
    },
    crate::{
        context::AppContext,
        control::{Command, Ended, Go, Origin, Outcome},
    },
    baobab_audit::Decision,
    baobab_engine::{EngineError, GenerationRequest, StreamEvent, TokenStream},
    baobab_web::Reply,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Times that one request is sent again.
const MAX_RETRIES: u32 = 4;
/// When to come back after an answer that broke.
const BROKEN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A checked request.
pub struct ChatCall {
    /// Identifier.
    pub id: String,
    /// Workspace's name.
    pub workspace: String,
    /// The request.
    pub request: ChatRequest,
    /// The body that engines are sent.
    pub forwarded: Vec<u8>,
    /// What it waits with.
    pub claim: Claim,
}

/// How a request ended.
pub enum Served {
    /// Its answer was sent as complete.
    Complete {
        /// Tokens of the answer.
        tokens: u64,
    },
    /// Its caller went away.
    CallerGone,
    /// It was refused, or given up with this problem.
    Refused(Problem),
}

/// How a try with one engine ended.
enum TryEnd {
    Complete,
    CallerGone,
    Failed(EngineError),
    Expired,
    Revoked,
}

/// Serves a request to its end.
pub fn serve(context: &AppContext, call: &ChatCall, reply: Reply) -> Served {
    let model = call.request.model.clone();
    let mut answer = Answer::start(&call.id, &model, call.request.stream, reply);
    let mut claim = call.claim;
    let mut tries = 0;
    let mut tokens = 0;
    // Whether a byte of the request has left this host.
    let mut ran = Ran::No;
    loop {
        let granted = match turn::wait(context, claim, ran, || answer.is_closed()) {
            Ok(granted) => granted,
            Err(NoTurn::CallerGone) => return Served::CallerGone,
            Err(NoTurn::Refused(problem)) => {
                answer.fail(problem);
                return Served::Refused(problem);
            }
        };
        context.audit.add(Decision::Granted {
            request: call.id.clone(),
            engine: granted.go.engine_name.clone(),
        });
        let (rest, end) = try_engine(context, call, &granted, answer);
        tokens += granted.go.progress.load(Ordering::Relaxed);
        match (rest, end) {
            (None, TryEnd::Complete) => return Served::Complete { tokens },
            (None, _) | (_, TryEnd::CallerGone) => return Served::CallerGone,
            (Some(unfinished), TryEnd::Failed(error)) => {
                answer = unfinished;
                note_retry(context, call, error.reason());
                if !matches!(error, EngineError::Unreachable(_)) {
                    ran = Ran::Unknown;
                }
                tries += 1;
                if tries > MAX_RETRIES {
                    let problem = broken(ran);
                    answer.fail(problem);
                    return Served::Refused(problem);
                }
                claim.origin = Origin::Retry;
            }
            (Some(unfinished), TryEnd::Expired | TryEnd::Complete) => {
                answer = unfinished;
                note_retry(context, call, "grant_expired");
                claim.origin = Origin::Returned;
            }
            (Some(unfinished), TryEnd::Revoked) => {
                answer = unfinished;
                note_retry(context, call, "revoked");
                claim.origin = Origin::Returned;
                ran = Ran::Unknown;
            }
        }
    }
}

fn broken(ran: Ran) -> Problem {
    Problem {
        ran,
        retry_after: Some(BROKEN_RETRY_AFTER),
        ..Problem::ANSWER_LOST
    }
}

fn note_retry(context: &AppContext, call: &ChatCall, reason: &str) {
    context.metrics.retries.with_label_values(&[reason]).inc();
    context.audit.add(Decision::Retried {
        request: call.id.clone(),
        reason: reason.to_owned(),
    });
}

/// Sends the request to one engine and passes its tokens on. Returns the unfinished answer, if
/// there is one, and tells the control thread that the stream has ended.
fn try_engine<'a>(
    context: &AppContext,
    call: &ChatCall,
    granted: &Granted,
    answer: Answer<'a>,
) -> (Option<Answer<'a>>, TryEnd) {
    let before = answer.tokens();
    let (rest, end) = pass_tokens(context, call, &granted.go, answer);
    let received = granted.go.progress.load(Ordering::Relaxed);
    debug_assert!(
        rest.as_ref()
            .is_none_or(|rest| rest.tokens() == before + received)
    );
    let outcome = match end {
        TryEnd::Complete | TryEnd::CallerGone | TryEnd::Revoked => Outcome::Fine,
        TryEnd::Failed(_) => Outcome::EngineFailed,
        TryEnd::Expired => Outcome::NotSent,
    };
    context.command(Command::Ended(Ended {
        id: granted.id,
        outcome,
        tokens: received,
    }));
    (rest, end)
}

fn pass_tokens<'a>(
    context: &AppContext,
    call: &ChatCall,
    go: &Go,
    answer: Answer<'a>,
) -> (Option<Answer<'a>>, TryEnd) {
    // The process may have been paused since the grant arrived.
    if context.clock.now() >= go.expires {
        return (Some(answer), TryEnd::Expired);
    }
    let address = context.reached(go.address);
    let generation = GenerationRequest {
        id: call.id.clone(),
        body: call.forwarded.clone(),
        offset: answer.tokens(),
    };
    let mut tokens = match context.engines.open(address, &generation) {
        Ok(tokens) => tokens,
        Err(error) => return (Some(answer), TryEnd::Failed(error)),
    };
    let (rest, end) = pump(context, go, answer, tokens.as_mut());
    if !matches!(end, TryEnd::Complete) {
        drop(tokens);
        context.engines.cancel(address, &call.id);
    }
    (rest, end)
}

fn pump<'a>(
    context: &AppContext,
    go: &Go,
    mut answer: Answer<'a>,
    tokens: &mut dyn TokenStream,
) -> (Option<Answer<'a>>, TryEnd) {
    loop {
        let piece = match tokens.next() {
            Ok(piece) => piece,
            Err(error) => return (Some(answer), TryEnd::Failed(error)),
        };
        match piece {
            StreamEvent::End => {
                let end = match answer.finish() {
                    Ok(()) => TryEnd::Complete,
                    Err(_) => TryEnd::CallerGone,
                };
                return (None, end);
            }
            // A piece that was received already.
            StreamEvent::Token { index, .. } if index < answer.tokens() => {}
            StreamEvent::Token { index, .. } if index > answer.tokens() => {
                let error = EngineError::Broken(format!("token {} is missing", answer.tokens()));
                return (Some(answer), TryEnd::Failed(error));
            }
            StreamEvent::Token { text, .. } => {
                if answer.is_closed() {
                    return (None, TryEnd::CallerGone);
                }
                if go.revoked.load(Ordering::Relaxed) {
                    return (Some(answer), TryEnd::Revoked);
                }
                answer = match answer.token(&text) {
                    Ok(answer) => answer,
                    Err(_) => return (None, TryEnd::CallerGone),
                };
                go.progress.fetch_add(1, Ordering::Relaxed);
                context.metrics.tokens.inc();
            }
        }
    }
}
