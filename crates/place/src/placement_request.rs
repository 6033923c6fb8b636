//! Input and results of placement.

use {
    crate::{Prompt, Server, ServerKey, SoftwareVersion},
    std::{net::SocketAddr, time::Duration},
};

/// How a caller comes to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAttempt {
    /// For the first time.
    First,
    /// After it was refused, so that the response will be late.
    Late,
    /// To take up a stream that broke off.
    TakeUp,
}

/// Priority with which a request gets capacity, by its workspace's use of its share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionClass {
    /// The workspace requests less than its share.
    Modest,
    /// The workspace requests more than its share; this request is within it.
    WithinShare {
        /// Unused fraction of the share, at most 1. A higher value gets higher capacity bounds.
        unused: f64,
    },
    /// Within the share but already late: gets only the capacity that requests on time leave.
    Late,
    /// The workspace has used up its share.
    BeyondShare {
        /// Served rate relative to the share, at least 1. A higher value gets lower capacity
        /// bounds.
        excess: f64,
    },
}

impl AdmissionClass {
    /// Returns whether the request is beyond the share, and so not charged to it.
    #[must_use]
    pub fn is_beyond_share(self) -> bool {
        matches!(self, Self::BeyondShare { .. })
    }

    /// Returns whether the request gets only the capacity that others leave.
    #[must_use]
    pub fn is_spare(self) -> bool {
        matches!(self, Self::Late | Self::BeyondShare { .. })
    }
}

/// Software versions of the servers that a request may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionBound<'a> {
    /// Any version.
    Any,
    /// The versions that may begin a stream.
    AnyOf(&'a [SoftwareVersion]),
    /// The version that began the stream that the request goes on with.
    Only(&'a str),
}

impl VersionBound<'_> {
    /// Returns whether a server of this version may get the request.
    #[must_use]
    pub fn allows(self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::AnyOf(versions) => versions.iter().any(|allowed| allowed == version),
            Self::Only(allowed) => allowed == version,
        }
    }
}

/// A request to be placed on a server.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the request is routed to.
    pub service: &'a str,
    /// Prompt of a model request; `None` for plain services.
    pub prompt: Option<&'a Prompt>,
    /// Latency objective: maximum time to first event.
    pub objective: Duration,
    /// Minimum objective of all routes to the service.
    pub min_objective: Duration,
    /// Failure domain of the router.
    pub domain: &'a str,
    /// Servers to choose from; all of the service if none.
    pub sample: Option<&'a [ServerKey]>,
    /// Random number of the request, by which its samples differ from those of other requests.
    pub seed: u64,
    /// Servers on which an attempt of this request has failed.
    pub tried: &'a [ServerKey],
    /// Determines the capacity bounds that apply.
    pub admission_class: AdmissionClass,
    /// Whether servers that have named a limit are considered.
    pub allows_limited: bool,
    /// Software versions of the servers that are considered.
    pub versions: VersionBound<'a>,
    /// Whether engines of the service can fetch cached parts from one another.
    pub can_fetch: bool,
    /// Memory of each engine of the service, in tokens; 0 if unknown.
    pub memory_tokens: u64,
    /// Connections that each server of the service accepts from all routers together.
    pub max_connections: u32,
    /// Servers to which the request can use an idle connection, sorted; none if it needs a new one at any
    /// server. Preferred in samples only.
    pub connected: Option<&'a [ServerKey]>,
}

/// The chosen server.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Server to send the request to.
    pub server: Server,
    /// Predicted time to first event.
    pub predicted_first_event: Duration,
    /// Prompt tokens that the server has to prefill: neither cached nor fetched.
    pub prefill_tokens: u64,
    /// Prompt tokens that the server has cached.
    pub cached_tokens: u64,
    /// Maximum of the prompt tokens cached by any server of the service.
    pub max_cached_tokens: u64,
    /// Engine to fetch cached parts from, if one has more of the prompt cached.
    pub fetch_from: Option<SocketAddr>,
    /// When the permit was asked for with which the request may be sent although the server has a limit.
    pub permit_asked_at: Option<Duration>,
}

/// Reason that a request cannot be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no usable server.
    NoServer,
    /// The service's only servers are in evacuated failure domains.
    Evacuated,
    /// All servers want no requests from this router for at least this time.
    BackingOff(Duration),
    /// The limits that the servers have named leave no request for at least this time.
    Limited(Duration),
    /// All servers of the stream's version may have started again as another one. That is known after
    /// this time.
    Unverified(Duration),
    /// No server can take the request now.
    Busy(Congestion),
}

/// State of the servers when none can take a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Congestion {
    /// Time until capacity is expected.
    pub available_in: Duration,
    /// Minimum prefill queue time over all engines.
    pub min_queue: Duration,
    /// Engines predicted to miss the objective.
    pub late: usize,
    /// Engines without a free slot, or to which all of this router's connections are in use.
    pub full: usize,
    /// Engines without enough free memory.
    pub out_of_memory: usize,
}
