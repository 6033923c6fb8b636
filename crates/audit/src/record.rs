//! Records of the audit log.

use serde::{Deserialize, Serialize};

/// A recorded decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A request was admitted to the queue.
    Admitted {
        /// Request identifier.
        request: String,
        /// Workspace name.
        workspace: String,
        /// Name of the model or service.
        target: String,
        /// Name of the urgency class.
        class: String,
    },
    /// A request was granted a slot of an engine.
    Granted {
        /// Request identifier.
        request: String,
        /// Engine name.
        engine: String,
    },
    /// A request was retried.
    Retried {
        /// Request identifier.
        request: String,
        /// Reason, as in the metrics.
        reason: String,
    },
    /// The response to a request was completed.
    Served {
        /// Request identifier.
        request: String,
        /// Number of tokens sent to the caller.
        tokens: u64,
    },
    /// The caller disconnected before the request was complete.
    Abandoned {
        /// Request identifier.
        request: String,
    },
    /// A request was refused or failed.
    Refused {
        /// Request identifier.
        request: String,
        /// Workspace name; empty if unknown.
        workspace: String,
        /// Error code of the response.
        code: String,
        /// Whether it was executed, as reported to the caller.
        ran: String,
    },
    /// A non-idempotent request ended.
    Once {
        /// Request identifier.
        request: String,
        /// Workspace name.
        workspace: String,
        /// Idempotency key.
        key: String,
        /// Outcome, as reported to the caller.
        verdict: String,
    },
    /// An engine was ordered to serve a model version.
    Ordered {
        /// Engine name.
        engine: String,
        /// Model version.
        version: String,
        /// Fencing number of the order.
        fencing: u64,
        /// Whether the engine accepted the order.
        taken: bool,
    },
    /// A configuration became active on the host.
    Configured {
        /// Configuration version.
        version: u64,
        /// Hexadecimal digest of its content.
        digest: String,
    },
}

/// A decision with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Milliseconds since the Unix epoch, by the host's clock.
    pub at_ms: u64,
    /// The recorded decision.
    #[serde(flatten)]
    pub decision: Decision,
}
