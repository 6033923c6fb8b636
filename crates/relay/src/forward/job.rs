//! An admitted request.

use {
    baobab_origin::StreamKey,
    baobab_place::{
        AdmissionClass, PartId, PlacementRequest, Prompt, ServerKey, SoftwareVersion, VersionBound,
    },
    baobab_quarantine::RequestKey,
    baobab_routing::{EngineCapabilities, RetrySafety, Route},
    baobab_unit::WorkspaceId,
    bytes::Bytes,
    http::{HeaderMap, Method, Uri, header::HOST},
    std::{
        cell::{Cell, OnceCell, RefCell},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Returns the first eight bytes of a digest.
pub fn key_of(digest: &blake3::Hash) -> u64 {
    digest
        .as_bytes()
        .iter()
        .take(size_of::<u64>())
        .fold(0, |key, byte| key << 8 | u64::from(*byte))
}

/// The workspace of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Name of the workspace.
    pub name: String,
    /// Id derived from the name.
    pub workspace: WorkspaceId,
}

/// A stream that a caller takes up again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakenUpStream {
    /// Key of the stream, if the caller names the request that began it.
    pub key: Option<StreamKey>,
    /// Id of the last event that the caller has.
    pub last_event: Option<u64>,
}

/// An admitted request of a caller, with its route and deadline.
#[derive(Debug)]
pub struct Job {
    /// Request id, chosen by the caller.
    pub id: String,
    /// Key derived from the id, by which routers report the request.
    pub key: RequestKey,
    /// Key of what the request asks, and for whom: the same each time its caller sends it.
    pub content_key: Cell<PartId>,
    /// Forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The complete body; emptied once the request can no longer be retried.
    pub body: RefCell<Bytes>,
    /// Route that matched host and path.
    pub route: Route,
    /// Service chosen among the route's targets.
    pub service: String,
    /// Connections that each server of the service accepts, from all routers together.
    pub max_connections: u32,
    /// Smallest latency objective of any request to the service.
    pub min_objective: Duration,
    /// Set if the servers are engines.
    pub engine: Option<EngineCapabilities>,
    /// Workspace of the caller; none if the request is anonymous.
    pub caller: Option<Caller>,
    /// Prompt for an engine.
    pub prompt: Option<Prompt>,
    /// Whether the caller has waited elsewhere for so long that the response will be late.
    pub is_late: bool,
    /// Set if the caller takes a stream up again.
    pub take_up: Option<TakenUpStream>,
    /// Version of the servers that the request may go to, once a stream has begun.
    pub version: OnceCell<SoftwareVersion>,
    /// Random number by which its samples of servers differ from those of other requests.
    pub seed: u64,
    /// Arrival of the head.
    pub arrived: Instant,
    /// When the response must be complete.
    pub deadline: Instant,
    /// Admission class under which it is charged to its workspace, if it is charged.
    pub charged_as: Cell<Option<AdmissionClass>>,
    /// Whether a server may have run the request.
    pub may_have_run: Cell<bool>,
    /// Attempts that were sent to a server, at least in part.
    pub sends: Cell<u32>,
}

impl Job {
    /// Returns the time until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the key of the stream that the request begins or goes on with.
    #[must_use]
    pub fn stream_key(&self) -> StreamKey {
        self.take_up
            .and_then(|stream| stream.key)
            .unwrap_or(self.key)
    }

    /// Whether any attempt was sent to a server.
    #[must_use]
    pub fn was_sent(&self) -> bool {
        self.sends.get() > 0
    }

    /// Frees the body of a request that will not be retried.
    pub fn drop_body(&self) {
        self.body.take();
    }

    /// Returns the name of the caller's workspace, or `-`, for the logs.
    #[must_use]
    pub fn workspace_name(&self) -> &str {
        self.caller
            .as_ref()
            .map_or("-", |caller| caller.name.as_str())
    }

    /// Returns the id of the caller's workspace, or zero if the request is anonymous.
    #[must_use]
    pub fn workspace(&self) -> WorkspaceId {
        self.caller.as_ref().map_or(0, |caller| caller.workspace)
    }

    /// Returns the parts of the prompt that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> Vec<PartId> {
        let shared = self.prompt.as_ref().map_or(&[][..], Prompt::shared);
        shared.iter().map(|part| part.id).collect()
    }

    /// Derives the content key, once the body is read.
    pub fn set_content_key(&self) {
        let mut hasher = blake3::Hasher::new();
        let host = self
            .headers
            .get(HOST)
            .map_or(&[][..], |host| host.as_bytes());
        let workspace = self.workspace().to_be_bytes();
        let uri = self.uri.to_string();
        let body = self.body.borrow();
        let fields = [
            host,
            &workspace,
            self.method.as_str().as_bytes(),
            uri.as_bytes(),
            &body,
        ];
        for field in fields {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        self.content_key.set(key_of(&hasher.finalize()));
    }

    /// Returns what may be the cause if a server crashes that answers the request: the parts of its
    /// prompt that other requests may share, and the request itself.
    #[must_use]
    pub fn suspect_parts(&self) -> Vec<PartId> {
        let mut parts = self.shared_parts();
        parts.push(self.content_key.get());
        parts
    }

    /// Returns the tokens that the request claims from its workspace's share.
    #[must_use]
    pub fn claim_tokens(&self) -> u64 {
        self.prompt.as_ref().map_or(0, Prompt::claim_tokens)
    }

    /// Returns the request to the placer. A stream begins at one of the versions `beginning`.
    #[must_use]
    pub fn placement_request<'a>(
        &'a self,
        domain: &'a str,
        tried: &'a [ServerKey],
        admission_class: AdmissionClass,
        allows_limited: bool,
        beginning: &'a [SoftwareVersion],
    ) -> PlacementRequest<'a> {
        let versions = match self.version.get() {
            Some(version) => VersionBound::Only(version),
            None if self.route.retry_safety == RetrySafety::ResumableStream => {
                VersionBound::AnyOf(beginning)
            }
            None => VersionBound::Any,
        };
        PlacementRequest {
            service: &self.service,
            prompt: self.engine.as_ref().and(self.prompt.as_ref()),
            objective: self.route.objective,
            min_objective: self.min_objective,
            domain,
            sample: None,
            seed: self.seed,
            tried,
            admission_class,
            allows_limited,
            versions,
            can_fetch: self
                .engine
                .as_ref()
                .is_some_and(|engine| engine.shares_cache),
            memory_tokens: self.engine.as_ref().map_or(0, |engine| engine.cache_tokens),
            max_connections: self.max_connections,
            connected: None,
        }
    }
}
