//! Commands to the control thread, and its replies to queued requests.

use {
    crate::config::Configuration,
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

/// Identifies a queued request, and then its stream, on this router.
pub type StreamId = u64;

/// A request in the queue for a slot on an engine.
#[derive(Debug)]
pub struct QueuedRequest {
    /// Identifier of the request and of the stream that follows.
    pub id: StreamId,
    /// Workspace whose share the request uses.
    pub workspace: WorkspaceId,
    /// Model that the request asks for.
    pub model: ModelId,
    /// Rank of its urgency class; zero is the most urgent.
    pub rank: u8,
    /// Digest of the start of its prompt.
    pub prefix: u32,
    /// Why it is queued; decides its place in the queue.
    pub reason: QueueReason,
    /// Channel for the reply.
    pub reply: Sender<QueueReply>,
}

/// Why a request is queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueReason {
    /// It has just arrived.
    New,
    /// An engine failed. The request goes to the front and spends retry budget.
    Retry,
    /// Its slot was revoked or its grant had expired. The request goes to the front.
    GrantLost,
}

/// Reply to a queued request.
#[derive(Debug)]
pub enum QueueReply {
    /// The request may be sent.
    Granted(SlotGrant),
    /// The request is refused.
    Denied(DenialReason),
}

/// A slot on an engine for one request.
#[derive(Debug)]
pub struct SlotGrant {
    /// Declared name of the engine.
    pub engine_name: String,
    /// Declared address of the engine.
    pub address: SocketAddr,
    /// Time by this process's clock from which the request must not be sent.
    pub expires: Duration,
    /// Tokens received; written by the thread that serves the request.
    pub progress: Arc<AtomicU64>,
    /// Set when the slot is revoked.
    pub revoked: Arc<AtomicBool>,
}

/// Why a queued request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenialReason {
    /// The queue of the workspace is full.
    QueueFull {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The retry budget is exhausted.
    RetryBudget {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The configuration does not declare its model or workspace.
    NotDeclared,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamOutcome {
    /// Without a fault of the engine: complete, left by the caller, or revoked.
    EngineOk,
    /// The engine failed.
    EngineFailed,
    /// The request was not sent.
    NotSent,
}

/// The end of a stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamEnd {
    /// Identifier of the stream.
    pub id: StreamId,
    /// How the stream ended; counts for the engine's health.
    pub outcome: StreamOutcome,
    /// Tokens that the stream has received.
    pub tokens: Token,
}

/// A command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// Queues a request.
    Enqueue(QueuedRequest),
    /// Removes a queued request whose caller has gone or whose time in the queue is over.
    CancelWaiting(StreamId),
    /// A stream has ended.
    StreamEnded(StreamEnd),
    /// A datagram has arrived from a peer.
    Packet(Packet),
    /// A configuration became active.
    Configuration(Arc<Configuration>),
    /// The platform's host list has been read.
    Hosts(Vec<HostEntry>),
    /// A planned stop has begun: hand over the dispatcher roles.
    Drain,
}
