//! Waiting for a turn.

use {
    super::problem::{Problem, Ran},
    crate::{
        context::AppContext,
        control::{Arrival, Command, Go, Origin, StreamId, Turn, TurnDenied},
    },
    flume::RecvTimeoutError,
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Time between two looks at whether a waiting caller is still there.
const PRESENCE_CHECK: Duration = Duration::from_millis(250);

static NEXT_STREAM: AtomicU64 = AtomicU64::new(1);

/// Why a request got no turn.
#[derive(Debug, Clone, Copy)]
pub enum NoTurn {
    /// The caller has gone.
    CallerGone,
    /// The request is refused or given up.
    Refused(Problem),
}

/// A turn.
#[derive(Debug)]
pub struct Granted {
    /// Identifier of the stream.
    pub id: StreamId,
    /// Where to send the request.
    pub go: Go,
}

/// What a request waits with.
#[derive(Debug, Clone, Copy)]
pub struct Claim {
    /// Workspace.
    pub workspace: u32,
    /// Model.
    pub model: u32,
    /// Rank of the urgency class.
    pub rank: u8,
    /// Digest of the prompt's start.
    pub prefix: u32,
    /// Whether it is new, or waits again.
    pub origin: Origin,
}

/// Waits until the request may be sent, is refused, or its caller goes away.
pub fn wait(
    context: &AppContext,
    claim: Claim,
    ran: Ran,
    is_caller_gone: impl Fn() -> bool,
) -> Result<Granted, NoTurn> {
    let id = NEXT_STREAM.fetch_add(1, Ordering::Relaxed);
    let (turn, turns) = flume::bounded(1);
    context.command(Command::Arrive(Arrival {
        id,
        workspace: claim.workspace,
        model: claim.model,
        rank: claim.rank,
        prefix: claim.prefix,
        origin: claim.origin,
        turn,
    }));
    let deadline = context.clock.now() + context.conf.queue_timeout;
    loop {
        match turns.recv_timeout(PRESENCE_CHECK) {
            Ok(Turn::Go(go)) => return Ok(Granted { id, go }),
            Ok(Turn::Denied(denied)) => return Err(NoTurn::Refused(problem(denied, ran))),
            Err(RecvTimeoutError::Disconnected) => {
                return Err(NoTurn::Refused(Problem::NO_CONFIGURATION));
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        let given_up = if is_caller_gone() {
            NoTurn::CallerGone
        } else if context.clock.now() >= deadline {
            NoTurn::Refused(Problem {
                ran,
                ..Problem::QUEUE_TIMEOUT
            })
        } else {
            continue;
        };
        context.command(Command::Leave(id));
        return give_back(context, id, &turns, given_up);
    }
}

/// A turn that was given at the very moment of giving up is handed back.
fn give_back(
    context: &AppContext,
    id: StreamId,
    turns: &flume::Receiver<Turn>,
    given_up: NoTurn,
) -> Result<Granted, NoTurn> {
    if let Ok(Turn::Go(go)) = turns.recv_timeout(PRESENCE_CHECK) {
        if matches!(given_up, NoTurn::Refused(_)) {
            return Ok(Granted { id, go });
        }
        context.command(Command::Ended(crate::control::Ended {
            id,
            outcome: crate::control::Outcome::NotSent,
            tokens: 0,
        }));
    }
    Err(given_up)
}

fn problem(denied: TurnDenied, ran: Ran) -> Problem {
    match denied {
        TurnDenied::QueueFull { retry_after } => Problem::queue_full(retry_after),
        TurnDenied::RetryBudget { retry_after } => Problem::retry_budget(ran, retry_after),
        TurnDenied::NotDeclared => Problem {
            ran,
            ..Problem::FORBIDDEN
        },
    }
}
