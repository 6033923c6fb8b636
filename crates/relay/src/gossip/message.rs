//! News of one router, and its wire form.

use {
    baobab_place::{Claim, Load, Part, PeerReport, ServerKey},
    baobab_routing::ConfigurationVersion,
    baobab_unit::{WorkspaceId, millis},
    baobab_watch::{Change, Row, TableDelta},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A prompt part that an engine was sent for the first time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ToldPart {
    /// The engine.
    pub server: ServerKey,
    /// The part.
    pub part: Part,
}

/// Changes of one of the store's tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToldTable {
    /// Number of the table, the same on all routers.
    pub table: u8,
    /// The changes.
    pub delta: TableDelta,
}

/// What one datagram tells.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct News {
    /// Load and claims.
    pub report: PeerReport,
    /// Prompt parts that engines were sent.
    pub parts: Vec<ToldPart>,
    /// Newest word of the store about the configuration.
    pub confirmed: Option<Confirmed>,
    /// Changes of the store's tables.
    pub tables: Vec<ToldTable>,
}

/// The store's word that a version was the newest one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmed {
    /// The version.
    pub version: ConfigurationVersion,
    /// When the store said so, on its own clock.
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

/// Wire form of [`News`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WireNews {
    is_whole: bool,
    loads: Vec<WireLoad>,
    claims: Vec<WireClaim>,
    parts: Vec<WirePart>,
    confirmed: Option<WireConfirmed>,
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
struct WireConfirmed {
    version: u64,
    store_time_ms: u64,
}

impl From<&News> for WireNews {
    fn from(news: &News) -> Self {
        Self {
            is_whole: news.report.is_full,
            loads: news.report.loads.iter().map(WireLoad::from).collect(),
            claims: news.report.claims.iter().map(WireClaim::from).collect(),
            parts: news.parts.iter().map(WirePart::from).collect(),
            confirmed: news.confirmed.map(WireConfirmed::from),
            tables: news.tables.iter().map(WireTable::from).collect(),
        }
    }
}

impl From<WireNews> for News {
    fn from(wire: WireNews) -> Self {
        Self {
            report: PeerReport {
                is_full: wire.is_whole,
                loads: wire.loads.into_iter().map(From::from).collect(),
                claims: wire.claims.into_iter().map(From::from).collect(),
            },
            parts: wire.parts.into_iter().map(From::from).collect(),
            confirmed: wire.confirmed.map(Confirmed::from),
            tables: wire.tables.into_iter().map(ToldTable::from).collect(),
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
    // A cast from a float saturates.
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

impl From<Confirmed> for WireConfirmed {
    fn from(confirmed: Confirmed) -> Self {
        Self {
            version: confirmed.version,
            store_time_ms: millis(confirmed.store_time),
        }
    }
}

impl From<WireConfirmed> for Confirmed {
    fn from(wire: WireConfirmed) -> Self {
        Self {
            version: wire.version,
            store_time: Duration::from_millis(wire.store_time_ms),
        }
    }
}

impl From<&ToldTable> for WireTable {
    fn from(table: &ToldTable) -> Self {
        Self {
            table: table.table,
            since: table.delta.since,
            revision: table.delta.revision,
            changes: table.delta.changes.iter().map(WireChange::from).collect(),
        }
    }
}

impl From<WireTable> for ToldTable {
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

impl From<&ToldPart> for WirePart {
    fn from(told: &ToldPart) -> Self {
        Self {
            server: told.server,
            part: told.part.id,
            tokens: told.part.tokens,
        }
    }
}

impl From<WirePart> for ToldPart {
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
