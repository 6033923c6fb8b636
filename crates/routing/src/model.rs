//! What operators have declared.

use std::{collections::BTreeMap, time::Duration};

/// Name of a service.
pub type ServiceName = String;
/// Version of a configuration; later ones are higher.
pub type ConfigurationVersion = u64;

/// What may be sent to a backend server more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The answer is a stream that runs at most once.
    Stream,
    /// The answer is a stream that another backend server may continue after its last event.
    ResumableStream,
}

impl RetrySafety {
    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One of the services that share a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, relative to the other targets.
    pub weight: u32,
}

/// Where requests of one host and path go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Value of the `Host` header.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that is on time.
    pub objective: Duration,
    /// Longest pause between two events that is on time.
    pub gap_objective: Duration,
    /// Urgency; zero is the most urgent.
    pub rank: u8,
    /// Services that take its requests.
    pub targets: Vec<Target>,
    /// Most backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_anonymous: bool,
}

/// What engines of a service can hold and do.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineCapabilities {
    /// Requests that run together.
    pub slots: u32,
    /// Memory for running requests and cached prompt parts, in tokens.
    pub cache_tokens: u64,
    /// Whether a request may name another engine to fetch cached prompt parts from.
    pub shares_cache: bool,
}

/// A group of like backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that each of its servers accepts from all callers.
    pub max_connections: u32,
    /// Set where the servers are model engines.
    pub engine: Option<EngineCapabilities>,
    /// Least objective of the routes whose requests it takes.
    pub min_objective: Duration,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time that a head may take to arrive.
    pub head_timeout: Duration,
    /// Longest time that a connection may stay idle.
    pub idle_timeout: Duration,
    /// What all engines together produce: tokens read once and generated twice, a second.
    pub tokens_per_s: Option<f64>,
}

/// A group of callers that is owed a share of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Urgency that goes before its routes' own.
    pub rank: Option<u8>,
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: ConfigurationVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// The workspace of each key; none where callers need no keys.
    pub keys: Option<BTreeMap<String, Workspace>>,
}

/// Returns the least objective of the routes whose requests a service takes.
#[must_use]
pub fn min_objective(routes: &[Route], service: &str) -> Duration {
    routes
        .iter()
        .filter(|route| route.targets.iter().any(|target| target.service == service))
        .map(|route| route.objective)
        .min()
        .unwrap_or(Duration::MAX)
}
