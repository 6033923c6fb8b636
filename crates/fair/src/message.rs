//! Messages between routers and dispatchers.

use {
    baobab_unit::{
        EngineId, HostId, Incarnation, ModelId, PoolId, Sequence, Token, Window, WorkspaceId,
    },
    std::time::Duration,
};

/// A workspace's state on one router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkspaceRow {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Waiting requests of the most urgent class.
    pub waiting_urgent: u32,
    /// Waiting requests of the other classes.
    pub waiting: u32,
    /// Tokens received from the pool since the router's start.
    pub tokens: Token,
}

/// The streams of a workspace from one router to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamRow {
    /// The engine.
    pub engine: EngineId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Streams running.
    pub running: u32,
}

/// One router's view of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineRow {
    /// The engine.
    pub engine: EngineId,
    /// Tokens received from the engine since the router's start.
    pub tokens: Token,
    /// Whether the router sends it no requests after failures.
    pub failing: bool,
}

/// A router's report to the dispatcher of a pool. Rows unchanged since `base` are omitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The pool.
    pub pool: PoolId,
    /// Sequence number of the report, from one.
    pub number: Sequence,
    /// Last report acknowledged by the dispatcher; zero for a full report.
    pub base: Sequence,
    /// Time of sending, by the router's clock.
    pub sent_at: Duration,
    /// The dispatcher run whose grants `received` acknowledges.
    pub dispatcher_incarnation: Incarnation,
    /// Sequence numbers of the grants received so far.
    pub received: Window,
    /// Workspaces whose row changed after `base`.
    pub workspaces: Vec<WorkspaceRow>,
    /// Streams whose row changed after `base`.
    pub streams: Vec<StreamRow>,
    /// Engines whose row changed after `base`.
    pub engines: Vec<EngineRow>,
}

/// Permission to send one request of a workspace to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Sequence number within the dispatcher's run and the receiving router, from one.
    pub number: Sequence,
    /// The engine.
    pub engine: EngineId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Whether only a request of the most urgent class may use the grant.
    pub urgent_only: bool,
    /// Remaining validity, after which the router must not start the request.
    pub valid: Duration,
}

/// Revokes a slot of a running stream, whose request waits again and is resumed later.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Revocation {
    /// The engine.
    pub engine: EngineId,
    /// The workspace.
    pub workspace: WorkspaceId,
}

/// A dispatcher's message to one router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grants {
    /// The pool.
    pub pool: PoolId,
    /// The router run whose reports `applied` acknowledges.
    pub router_incarnation: Incarnation,
    /// Last report that the dispatcher applied.
    pub applied: Sequence,
    /// The router's clock at that report plus the time since its arrival.
    ///
    /// The router compares it with its own clock to detect messages that were delayed in a queue
    /// or by a paused process, without a common clock.
    pub router_time: Duration,
    /// New grants, and unacknowledged ones sent again.
    pub grants: Vec<Grant>,
    /// Slots to release. Each is sent once: after a loss the dispatcher decides again.
    pub revocations: Vec<Revocation>,
}

/// A workspace's state in one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolUpdateRow {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Total tokens served by the pool; merged by maximum.
    pub tokens: Token,
    /// The workspace's lift in tokens, see [`Ledger::lift`](crate::Ledger::lift); merged by
    /// maximum.
    pub lift: Token,
    /// Streams running.
    pub running: u32,
    /// Waiting requests of the most urgent class in the pool's domain.
    pub waiting_urgent: u32,
    /// Waiting requests of the other classes in the pool's domain.
    pub waiting: u32,
    /// The router with the most waiting requests.
    pub router: HostId,
}

/// A peer's copy of a workspace's counters in a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncRow {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Total tokens served by the pool.
    pub tokens: Token,
    /// The workspace's lift in tokens, see [`Ledger::lift`](crate::Ledger::lift).
    pub lift: Token,
}

/// A dispatcher's message to the other dispatchers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolUpdate {
    /// The pool.
    pub pool: PoolId,
    /// The model that the pool serves.
    pub model: ModelId,
    /// Sequence number of the message within the dispatcher's run.
    pub number: Sequence,
    /// Whether the dispatcher is new and requests its pool's counters from the peers.
    pub wants_sync: bool,
    /// Tokens a second that one stream of the pool receives.
    pub stream_rate: u32,
    /// Workspaces whose state differs from the receiver's extrapolation.
    pub rows: Vec<PoolUpdateRow>,
}
