//! What is recorded.

use serde::{Deserialize, Serialize};

/// A decision of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A request was taken into the queue.
    Admitted {
        /// Request.
        request: String,
        /// Workspace.
        workspace: String,
        /// Model or service.
        target: String,
        /// Urgency class.
        class: String,
    },
    /// A request was given a slot of an engine.
    Granted {
        /// Request.
        request: String,
        /// Engine.
        engine: String,
    },
    /// A request was sent again.
    Retried {
        /// Request.
        request: String,
        /// Why.
        reason: String,
    },
    /// A request was answered as complete.
    Served {
        /// Request.
        request: String,
        /// Tokens sent.
        tokens: u64,
    },
    /// A request's caller went away before its end.
    Abandoned {
        /// Request.
        request: String,
    },
    /// A request was refused or given up.
    Refused {
        /// Request.
        request: String,
        /// Workspace; empty where it is not known.
        workspace: String,
        /// The error code that the caller was told.
        code: String,
        /// Whether it ran, as the caller was told.
        ran: String,
    },
    /// A non-idempotent request came to its end.
    Once {
        /// Request.
        request: String,
        /// Workspace.
        workspace: String,
        /// Idempotency key.
        key: String,
        /// What the caller was told.
        verdict: String,
    },
    /// An engine was ordered to serve a version.
    Ordered {
        /// Engine.
        engine: String,
        /// Version.
        version: String,
        /// Fencing number.
        fencing: u64,
        /// Whether the engine took it.
        taken: bool,
    },
    /// A configuration came into force.
    Configured {
        /// Version.
        version: u64,
        /// Digest of its content.
        digest: String,
    },
}

/// A decision with its place in time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Milliseconds since the Unix epoch, by the host's clock.
    pub at_ms: u64,
    /// The decision.
    #[serde(flatten)]
    pub decision: Decision,
}
