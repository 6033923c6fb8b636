//! A request as a router holds it.

use {
    baobab_place::{AdmissionClass, PlacementRequest, Prompt, ServerKey},
    baobab_routing::{EngineCapabilities, Route},
    baobab_unit::WorkspaceId,
    bytes::Bytes,
    http::{HeaderMap, Method, Uri},
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
    tokio::time::Instant,
};

/// The workspace of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Its name.
    pub name: String,
    /// Its short form.
    pub workspace: WorkspaceId,
}

/// One request of a caller.
#[derive(Debug)]
pub struct Job {
    /// Identity of the request.
    pub id: String,
    /// Method, sent on unchanged.
    pub method: Method,
    /// Path and query, sent on unchanged.
    pub uri: Uri,
    /// Headers that are sent on.
    pub headers: HeaderMap,
    /// The whole body, as long as it may be sent again.
    pub body: RefCell<Bytes>,
    /// Its route.
    pub route: Route,
    /// The service that takes it.
    pub service: String,
    /// Connections that each server of the service accepts from all routers.
    pub max_connections: u32,
    /// Least objective of all requests to the service.
    pub min_objective: Duration,
    /// Set where the servers are engines.
    pub engine: Option<EngineCapabilities>,
    /// The caller's workspace.
    pub caller: Option<Caller>,
    /// What it asks an engine for.
    pub prompt: Option<Prompt>,
    /// Whether the caller has waited elsewhere for so long that its answer is late already.
    pub is_late: bool,
    /// When it arrived.
    pub arrived: Instant,
    /// When it must have its final answer.
    pub ends_at: Instant,
    /// Claim to room under which it is charged to its workspace.
    pub charged_as: Cell<Option<AdmissionClass>>,
    /// Whether a server may have run it.
    pub may_have_run: Cell<bool>,
    /// Whether anything was sent to a server.
    pub was_sent: Cell<bool>,
}

impl Job {
    /// Returns the time that is left.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.ends_at.saturating_duration_since(Instant::now())
    }

    /// Gives up the body of a request that is sent to no other server.
    pub fn drop_body(&self) {
        self.body.take();
    }

    /// Returns the name of the caller's workspace, for the logs.
    #[must_use]
    pub fn workspace_name(&self) -> &str {
        self.caller
            .as_ref()
            .map_or("-", |caller| caller.name.as_str())
    }

    /// Returns what the request claims of its workspace's share.
    #[must_use]
    pub fn claim_tokens(&self) -> u64 {
        self.prompt.as_ref().map_or(0, Prompt::claim_tokens)
    }

    /// Returns the question for a server.
    #[must_use]
    pub fn placement_request<'a>(
        &'a self,
        domain: &'a str,
        tried: &'a [ServerKey],
        admission_class: AdmissionClass,
    ) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.service,
            prompt: self.engine.as_ref().and(self.prompt.as_ref()),
            objective: self.route.objective,
            min_objective: self.min_objective,
            domain,
            tried,
            admission_class,
            can_fetch: self
                .engine
                .as_ref()
                .is_some_and(|engine| engine.shares_cache),
            memory_tokens: self.engine.as_ref().map_or(0, |engine| engine.cache_tokens),
            max_connections: self.max_connections,
        }
    }
}
