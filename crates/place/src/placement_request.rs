//! A request that needs a server, and what became of it.

use {
    crate::{Prompt, Server, ServerKey},
    std::{net::SocketAddr, time::Duration},
};

/// A request's claim to room.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionClass {
    /// Its workspace asks for less than its share.
    Modest,
    /// It is within the share of a workspace that asks for more.
    WithinShare {
        /// Part of the share that the workspace has left unused, up to one. Those that have got
        /// least find room first.
        unused: f64,
    },
    /// It is within the share but late already: it takes what those that can be on time leave.
    Late,
    /// Its workspace has used its share.
    BeyondShare {
        /// What the workspace is served, relative to its share; one at least. Those that are
        /// furthest beyond find room last.
        excess: f64,
    },
}

impl AdmissionClass {
    /// Tells whether the request is not charged to the share.
    #[must_use]
    pub fn is_beyond_share(self) -> bool {
        matches!(self, Self::BeyondShare { .. })
    }
}

/// A request that needs a server.
#[derive(Debug)]
pub struct PlacementRequest<'a> {
    /// Service that takes it.
    pub service: &'a str,
    /// What it asks an engine to read; none for plain services.
    pub prompt: Option<&'a Prompt>,
    /// Time to the first event that is on time.
    pub objective: Duration,
    /// Least objective of all requests to the service.
    pub min_objective: Duration,
    /// Failure domain of the router.
    pub domain: &'a str,
    /// Servers that have failed it.
    pub tried: &'a [ServerKey],
    /// Its claim to room.
    pub admission_class: AdmissionClass,
    /// Whether engines of the service fetch cached parts from one another.
    pub can_fetch: bool,
    /// Memory of each engine of the service, in tokens; zero where unknown.
    pub memory_tokens: u64,
    /// Connections that each server of the service accepts from all routers.
    pub max_connections: u32,
}

/// The chosen server.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The server.
    pub server: Server,
    /// Foretold time to the first event.
    pub predicted_first_event: Duration,
    /// Prompt tokens that the server has to read.
    pub uncached_tokens: u64,
    /// Prompt tokens that the server holds.
    pub cached_tokens: u64,
    /// Most prompt tokens that any server of the service holds.
    pub max_cached_tokens: u64,
    /// Engine that holds more of the prompt's shared parts.
    pub fetch_from: Option<SocketAddr>,
}

/// Why no server takes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementError {
    /// The service has no server that may be used.
    NoServer,
    /// No server would answer on time.
    Busy(Congestion),
}

/// Why no engine takes a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Congestion {
    /// When room is expected.
    pub available_in: Duration,
    /// Least time that the prompts before the request take at any engine.
    pub min_queue: Duration,
    /// Engines that would answer late.
    pub late: usize,
    /// Engines whose slots are taken, or to which the router has all its connections in use.
    pub full: usize,
    /// Engines whose memory is taken.
    pub out_of_memory: usize,
}
