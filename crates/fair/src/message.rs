//! What routers and dispatchers tell each other.

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
    /// Tokens received from the pool since the router started.
    pub tokens: Token,
}

/// Streams of a workspace that one router runs on an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamRow {
    /// The engine.
    pub engine: EngineId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Streams running.
    pub running: u32,
}

/// An engine as one router sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineRow {
    /// The engine.
    pub engine: EngineId,
    /// Tokens received from it since the router started.
    pub tokens: Token,
    /// Whether the router leaves it alone after failures.
    pub failing: bool,
}

/// A router's report to the dispatcher of a pool. Rows unchanged since `base` are left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The pool.
    pub pool: PoolId,
    /// Number of the report, from one.
    pub number: Sequence,
    /// The report up to which the dispatcher is known to have all rows; zero for a full report.
    pub base: Sequence,
    /// The router's clock when it sent the report.
    pub sent_at: Duration,
    /// The dispatcher run that `received` speaks of.
    pub dispatcher_incarnation: Incarnation,
    /// Grants received so far.
    pub received: Window,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceRow>,
    /// Streams.
    pub streams: Vec<StreamRow>,
    /// Engines.
    pub engines: Vec<EngineRow>,
}

/// Permission to send one request of a workspace to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Number within the dispatcher's run and the receiving router, from one.
    pub number: Sequence,
    /// The engine.
    pub engine: EngineId,
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Whether only a request of the most urgent class may use it.
    pub urgent_only: bool,
    /// Time after which the router must not start the request any more.
    pub valid: Duration,
}

/// Takes a slot back from a running stream, whose request waits again and is resumed later.
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
    /// The router run that `applied` speaks of.
    pub router_incarnation: Incarnation,
    /// The report up to which the dispatcher has all rows.
    pub applied: Sequence,
    /// The router's clock in that report, moved on by the time since it arrived.
    ///
    /// The router compares it with its own clock, so that messages which waited for long, in a
    /// queue or in front of a paused process, can be told from fresh ones without a common clock.
    pub router_time: Duration,
    /// New and repeated grants.
    pub grants: Vec<Grant>,
    /// Slots to give back. They are sent once: a lost one is decided again.
    pub revocations: Vec<Revocation>,
}

/// A workspace's state in one pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolUpdateRow {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens served by the pool, ever; merged by maximum.
    pub tokens: Token,
    /// Tokens added when the workspace came back from idle; merged by maximum.
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

/// A workspace's tokens in a pool, as a peer knows them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncRow {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Tokens served by the pool, ever.
    pub tokens: Token,
    /// The workspace's lift.
    pub lift: Token,
}

/// A dispatcher's message to the other dispatchers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolUpdate {
    /// The pool.
    pub pool: PoolId,
    /// Its model.
    pub model: ModelId,
    /// Number of the message within the dispatcher's run.
    pub number: Sequence,
    /// Whether the dispatcher is new and asks what is known of its pool.
    pub wants_sync: bool,
    /// Tokens a second that one stream of the pool receives.
    pub stream_rate: u32,
    /// Workspaces whose state differs from what the receiver extrapolates.
    pub rows: Vec<PoolUpdateRow>,
}
