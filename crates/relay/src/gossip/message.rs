//! Gossip message of one router, and its wire format.

use {
    baobab_place::{Claim, Load, Part, PeerReport, ServerKey},
    baobab_routing::ConfigurationVersion,
    baobab_unit::{WorkspaceId, millis},
    baobab_watch::{Change, Row, TableDelta},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A prompt part that was sent to an engine for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartUpdate {
    /// The engine that received it.
    pub server: ServerKey,
    /// Id and size of the part.
    pub part: Part,
}

/// Changes of one table of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableUpdate {
    /// Index of the table, the same on all routers.
    pub table: u8,
    /// The changes since a revision.
    pub delta: TableDelta,
}

/// Content of one datagram.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GossipMessage {
    /// Loads of servers and claims of workspaces.
    pub report: PeerReport,
    /// Prompt parts that were sent to engines.
    pub parts: Vec<PartUpdate>,
    /// Newest confirmation of the configuration by the store.
    pub confirmation: Option<VersionConfirmation>,
    /// Changes of the store's tables.
    pub tables: Vec<TableUpdate>,
}

/// Confirmation by the store that a version is the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionConfirmation {
    /// The confirmed version.
    pub version: ConfigurationVersion,
    /// Time of the confirmation on the store's clock.
    pub store_time: Duration,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLoad {
    server: u32,
    unread_tokens: u64,
    running: u64,
    memory_tokens: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireClaim {
    workspace: u32,
    asked: u32,
    served: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct WirePart {
    server: u32,
    part: u64,
    tokens: u64,
}

/// Wire format of [`GossipMessage`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireGossipMessage {
    is_whole: bool,
    loads: Vec<WireLoad>,
    claims: Vec<WireClaim>,
    parts: Vec<WirePart>,
    confirmed: Option<WireVersionConfirmation>,
    tables: Vec<WireTable>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireTable {
    table: u8,
    since: u64,
    revision: u64,
    changes: Vec<WireChange>,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireChange {
    Written { key: String, content: Vec<u8> },
    Removed { key: String },
}

#[derive(Debug, Serialize, Deserialize)]
struct WireVersionConfirmation {
    version: u64,
    store_time_ms: u64,
}

impl From<&GossipMessage> for WireGossipMessage {
    fn from(message: &GossipMessage) -> Self {
        Self {
            is_whole: message.report.is_full,
            loads: message.report.loads.iter().map(WireLoad::from).collect(),
            claims: message.report.claims.iter().map(WireClaim::from).collect(),
            parts: message.parts.iter().map(WirePart::from).collect(),
            confirmed: message.confirmation.map(WireVersionConfirmation::from),
            tables: message.tables.iter().map(WireTable::from).collect(),
        }
    }
}

impl From<WireGossipMessage> for GossipMessage {
    fn from(wire: WireGossipMessage) -> Self {
        Self {
            report: PeerReport {
                is_full: wire.is_whole,
                loads: wire.loads.into_iter().map(From::from).collect(),
                claims: wire.claims.into_iter().map(From::from).collect(),
            },
            parts: wire.parts.into_iter().map(From::from).collect(),
            confirmation: wire.confirmed.map(VersionConfirmation::from),
            tables: wire.tables.into_iter().map(TableUpdate::from).collect(),
        }
    }
}

impl From<&(ServerKey, Load)> for WireLoad {
    fn from((server, load): &(ServerKey, Load)) -> Self {
        Self {
            server: *server,
            unread_tokens: load.pending_prefill_tokens,
            running: load.running,
            memory_tokens: load.memory_tokens,
        }
    }
}

impl From<WireLoad> for (ServerKey, Load) {
    fn from(wire: WireLoad) -> Self {
        let load = Load {
            pending_prefill_tokens: wire.unread_tokens,
            running: wire.running,
            memory_tokens: wire.memory_tokens,
        };
        (wire.server, load)
    }
}

impl From<&(WorkspaceId, Claim)> for WireClaim {
    // Casts from floats saturate.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn from((workspace, claim): &(WorkspaceId, Claim)) -> Self {
        Self {
            workspace: *workspace,
            asked: claim.requested as u32,
            served: claim.served as u32,
        }
    }
}

impl From<WireClaim> for (WorkspaceId, Claim) {
    fn from(wire: WireClaim) -> Self {
        let claim = Claim {
            requested: f64::from(wire.asked),
            served: f64::from(wire.served),
        };
        (wire.workspace, claim)
    }
}

impl From<VersionConfirmation> for WireVersionConfirmation {
    fn from(confirmation: VersionConfirmation) -> Self {
        Self {
            version: confirmation.version,
            store_time_ms: millis(confirmation.store_time),
        }
    }
}

impl From<WireVersionConfirmation> for VersionConfirmation {
    fn from(wire: WireVersionConfirmation) -> Self {
        Self {
            version: wire.version,
            store_time: Duration::from_millis(wire.store_time_ms),
        }
    }
}

impl From<&TableUpdate> for WireTable {
    fn from(table: &TableUpdate) -> Self {
        Self {
            table: table.table,
            since: table.delta.since,
            revision: table.delta.revision,
            changes: table.delta.changes.iter().map(WireChange::from).collect(),
        }
    }
}

impl From<WireTable> for TableUpdate {
    fn from(wire: WireTable) -> Self {
        let delta = TableDelta {
            since: wire.since,
            revision: wire.revision,
            changes: wire.changes.into_iter().map(Change::from).collect(),
        };
        Self {
            table: wire.table,
            delta,
        }
    }
}

impl From<&Change> for WireChange {
    fn from(change: &Change) -> Self {
        match change {
            Change::Written(row) => Self::Written {
                key: row.key.clone(),
                content: row.content.clone(),
            },
            Change::Removed(key) => Self::Removed { key: key.clone() },
        }
    }
}

impl From<WireChange> for Change {
    fn from(wire: WireChange) -> Self {
        match wire {
            WireChange::Written { key, content } => Self::Written(Row { key, content }),
            WireChange::Removed { key } => Self::Removed(key),
        }
    }
}

impl From<&PartUpdate> for WirePart {
    fn from(update: &PartUpdate) -> Self {
        Self {
            server: update.server,
            part: update.part.id,
            tokens: update.part.tokens,
        }
    }
}

impl From<WirePart> for PartUpdate {
    fn from(wire: WirePart) -> Self {
        Self {
            server: wire.server,
            part: Part {
                id: wire.part,
                tokens: wire.tokens,
            },
        }
    }
}
