//! Requests whose answers broke when a backend server crashed.

use {baobab_unit::WorkspaceId, std::time::Duration};

/// Identity of a prompt part, the same on every router.
pub type PartId = u64;
/// Key of a backend server, the same on every router.
pub type ServerKey = u32;
/// Key of a request, the same for all its attempts.
pub type RequestKey = u64;

/// Maximum number of shared parts of a request that counts as evidence. The parts that candidates
/// have in common can't be told from a truncated list.
pub const MAX_PARTS: usize = 32;

/// How far a response had come when its server closed the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Its head had not arrived. All requests that wait at a server break off with it.
    Awaited,
    /// It had just begun.
    Begun,
    /// It had gone on beyond its beginning, but not yet long enough to show that its prompt is sound.
    Continued,
}

/// A request that broke before its answer or soon after that began: one of the candidates for the cause
/// of a crash.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The server that crashed.
    pub server: ServerKey,
    /// The request.
    pub request: RequestKey,
    /// Workspace of the request; zero if it named none.
    pub workspace: WorkspaceId,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<PartId>,
    /// Key of what the request asks, if it may come again; counts as a part that only such requests
    /// share.
    pub content: Option<PartId>,
    /// How far the response had come.
    pub stage: Stage,
    /// Time from the last answer that the router had from the server when it sent the request until the
    /// crash; none if it had none.
    pub since_answer: Option<Duration>,
}
