//! Waiting in the queue until a slot is granted.

use {
    super::problem::{Executed, Problem},
    crate::{
        context::AppContext,
        control::{
            Command, DenialReason, QueueReason, QueueReply, QueuedRequest, SlotGrant, StreamId,
        },
    },
    flume::RecvTimeoutError,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Interval at which a waiting thread checks whether its caller is still connected.
const CALLER_CHECK_INTERVAL: Duration = Duration::from_millis(250);

static NEXT_STREAM_ID: AtomicU64 = AtomicU64::new(1);

/// Why a request was not granted a slot.
#[derive(Debug, Clone, Copy)]
pub enum QueueError {
    /// The caller has disconnected.
    CallerGone,
    /// The request was refused or timed out in the queue.
    Refused(Problem),
}

/// A request that was granted a slot.
#[derive(Debug)]
pub struct GrantedRequest {
    /// Identifier of the stream.
    pub id: StreamId,
    /// The granted slot.
    pub grant: SlotGrant,
}

/// Parameters by which a request is queued and dispatched.
#[derive(Debug, Clone, Copy)]
pub struct SchedulingParams {
    /// Identifier of the workspace.
    pub workspace: u32,
    /// Identifier of the model.
    pub model: u32,
    /// Rank of the urgency class; zero is the most urgent.
    pub rank: u8,
    /// Digest of the start of the prompt.
    pub prefix: u32,
    /// Why the request is queued.
    pub reason: QueueReason,
}

/// Queues a request and waits until a slot is granted, it is refused, the queue timeout is over or
/// its caller disconnects. `executed` goes into the problem of a refusal.
pub fn wait_for_grant(
    context: &AppContext,
    params: SchedulingParams,
    executed: Executed,
    is_caller_gone: impl Fn() -> bool,
) -> Result<GrantedRequest, QueueError> {
    let id = NEXT_STREAM_ID.fetch_add(1, Ordering::Relaxed);
    let (reply, replies) = flume::bounded(1);
    context.send_command(Command::Enqueue(QueuedRequest {
        id,
        workspace: params.workspace,
        model: params.model,
        rank: params.rank,
        prefix: params.prefix,
        reason: params.reason,
        reply,
    }));
    let deadline = context.clock.now() + context.conf.queue_timeout;
    loop {
        match replies.recv_timeout(CALLER_CHECK_INTERVAL) {
            Ok(QueueReply::Granted(grant)) => return Ok(GrantedRequest { id, grant }),
            Ok(QueueReply::Denied(denial)) => {
                return Err(QueueError::Refused(problem(denial, executed)));
            }
            Err(RecvTimeoutError::Disconnected) => {
                return Err(QueueError::Refused(Problem::NO_CONFIGURATION));
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        let error = if is_caller_gone() {
            QueueError::CallerGone
        } else if context.clock.now() >= deadline {
            QueueError::Refused(Problem {
                executed,
                ..Problem::QUEUE_TIMEOUT
            })
        } else {
            continue;
        };
        context.send_command(Command::CancelWaiting(id));
        return resolve_late_grant(context, id, &replies, error);
    }
}

/// Handles a grant that arrives while the request leaves the queue: a request that timed out still
/// uses it, and one whose caller has gone releases the slot.
fn resolve_late_grant(
    context: &AppContext,
    id: StreamId,
    replies: &flume::Receiver<QueueReply>,
    error: QueueError,
) -> Result<GrantedRequest, QueueError> {
    if let Ok(QueueReply::Granted(grant)) = replies.recv_timeout(CALLER_CHECK_INTERVAL) {
        if matches!(error, QueueError::Refused(_)) {
            return Ok(GrantedRequest { id, grant });
        }
        context.send_command(Command::StreamEnded(crate::control::StreamEnd {
            id,
            outcome: crate::control::StreamOutcome::NotSent,
            tokens: 0,
        }));
    }
    Err(error)
}

fn problem(denial: DenialReason, executed: Executed) -> Problem {
    match denial {
        DenialReason::QueueFull { retry_after } => Problem::queue_full(retry_after),
        DenialReason::RetryBudget { retry_after } => Problem::retry_budget(executed, retry_after),
        DenialReason::NotDeclared => Problem {
            executed,
            ..Problem::FORBIDDEN
        },
    }
}
