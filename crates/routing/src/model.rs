//! The configuration that operators have declared.

use std::{collections::BTreeMap, time::Duration};

/// Name of a service.
pub type ServiceName = String;
/// Version of a configuration; later ones are higher.
pub type ConfigurationVersion = u64;

/// Whether a request may be retried, by the kind of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The response is a stream; the request runs at most once.
    Stream,
    /// The response is a stream that another backend server can resume after its last event.
    ResumableStream,
}

impl RetrySafety {
    /// Returns whether a request that may have run can be retried.
    #[must_use]
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One of the services that share a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the service, relative to the route's other targets.
    pub weight: u32,
}

/// Routing rule for requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Value of the `Host` header; matched without regard to case.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be retried.
    pub retry_safety: RetrySafety,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Latency objective: maximum time to the response, or to a stream's first event.
    pub objective: Duration,
    /// Latency objective of a stream: maximum time between two events.
    pub gap_objective: Duration,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Services that the requests are split among.
    pub targets: Vec<Target>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers are admitted without a key.
    pub is_anonymous: bool,
}

/// Capacity and features of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineCapabilities {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Memory of an engine for running requests and cached prompt parts, in tokens.
    pub cache_tokens: u64,
    /// Whether a request may name another engine to fetch cached prompt parts from.
    pub shares_cache: bool,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that each of its servers accepts from all callers together.
    pub max_connections: u32,
    /// Set if the servers are model engines.
    pub engine: Option<EngineCapabilities>,
    /// Minimum objective of the routes to the service.
    pub min_objective: Duration,
    /// Time for which its servers are cold after their start; zero if they have no cold phase.
    pub cold_start: Duration,
    /// Requests a second that a server can handle while it is cold; zero if it has no cold phase.
    pub cold_per_s: f64,
}

/// Bounds on callers' requests and on the engines' throughput.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum idle time of a connection.
    pub idle_timeout: Duration,
    /// Throughput of all engines together, in tokens per second: a prompt token counts once, a
    /// generated token twice.
    pub tokens_per_s: Option<f64>,
}

/// A group of callers with its own share of the engines' throughput.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Urgency that overrides the rank of the route; 0 is the most urgent.
    pub rank: Option<u8>,
}

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version; a later configuration has a higher one.
    pub version: ConfigurationVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Bounds on callers' requests and on the engines' throughput.
    pub limits: Limits,
    /// Workspace by key; `None` if callers need no keys.
    pub keys: Option<BTreeMap<String, Workspace>>,
}

/// Returns the minimum objective of the routes to a service; `Duration::MAX` if there are none.
#[must_use]
pub fn min_objective(routes: &[Route], service: &str) -> Duration {
    routes
        .iter()
        .filter(|route| route.targets.iter().any(|target| target.service == service))
        .map(|route| route.objective)
        .min()
        .unwrap_or(Duration::MAX)
}
