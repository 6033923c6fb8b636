//! What other threads tell the control thread, and what it answers to waiting requests.

use {
    crate::config::InForce,
    baobab_store::HostEntry,
    baobab_unit::{ModelId, Token, WorkspaceId},
    baobab_wire::Packet,
    flume::Sender,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64},
        },
        time::Duration,
    },
};

/// A request or stream on this router.
pub type StreamId = u64;

/// A request that waits for a slot.
#[derive(Debug)]
pub struct Arrival {
    /// Identifier on this router.
    pub id: StreamId,
    /// Workspace.
    pub workspace: WorkspaceId,
    /// Model.
    pub model: ModelId,
    /// Rank of its urgency class.
    pub rank: u8,
    /// Digest of its prompt's start.
    pub prefix: u32,
    /// Whether it is new, or waits again.
    pub origin: Origin,
    /// Where its turn is told.
    pub turn: Sender<Turn>,
}

/// Why a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It has just come.
    New,
    /// An engine failed it; it goes to the front and costs a part of the retry budget.
    Retry,
    /// Its slot was taken back or its grant came too late; it goes to the front.
    Returned,
}

/// A request's turn.
#[derive(Debug)]
pub enum Turn {
    /// It may be sent.
    Go(Go),
    /// It is refused.
    Denied(TurnDenied),
}

/// Where to send a request.
#[derive(Debug)]
pub struct Go {
    /// Name of the engine.
    pub engine_name: String,
    /// Its declared address.
    pub address: SocketAddr,
    /// Time by this process's clock after which it must not be sent any more.
    pub expires: Duration,
    /// Tokens received, counted by the sending thread.
    pub progress: Arc<AtomicU64>,
    /// Set when the slot is taken back.
    pub revoked: Arc<AtomicBool>,
}

/// Why a request does not get a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnDenied {
    /// Too many requests of the workspace wait.
    QueueFull {
        /// When to come back.
        retry_after: Duration,
    },
    /// Too many requests are being sent again.
    RetryBudget {
        /// When to come back.
        retry_after: Duration,
    },
    /// The configuration no longer has its model or workspace.
    NotDeclared,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// As it should, or because the caller went away.
    Fine,
    /// The engine failed.
    EngineFailed,
    /// It was not sent at all.
    NotSent,
}

/// The end of a stream.
#[derive(Debug, Clone, Copy)]
pub struct Ended {
    /// The stream.
    pub id: StreamId,
    /// How it ended.
    pub outcome: Outcome,
    /// Tokens received.
    pub tokens: Token,
}

/// A command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// A request waits.
    Arrive(Arrival),
    /// A waiting request's caller has gone or its time is over.
    Leave(StreamId),
    /// A stream has ended.
    Ended(Ended),
    /// A datagram has arrived.
    Packet(Packet),
    /// A configuration came into force.
    InForce(Arc<InForce>),
    /// The platform's list was read.
    Hosts(Vec<HostEntry>),
    /// A planned stop has begun.
    Drain,
}
