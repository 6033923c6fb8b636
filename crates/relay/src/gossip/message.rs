//! Gossip message of one router, and its wire format.

use {
    super::{
        evidence_message::{EvidenceMessage, WireEvidence},
        owner_message::{
            LoadAnswer, LoadQuery, RateAnswer, WireLimit, WireLoadAnswer, WireLoadQuery,
            WireRateAnswer,
        },
        retry_message::{RetryMessage, WireRetryMessage},
    },
    baobab_limit::Notice,
    baobab_origin::{Note, RecordRow, VersionOf},
    baobab_place::{Load, Part, PeerReport, ServerKey, WorkspaceGroup, WorkspaceRates},
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
    /// Loads of servers and rates of workspaces.
    pub report: PeerReport,
    /// Prompt parts that were sent to engines.
    pub parts: Vec<PartUpdate>,
    /// Newest confirmation of the configuration by the store.
    pub confirmation: Option<GossipConfirmation>,
    /// Changes of the store's tables.
    pub tables: Vec<TableUpdate>,
    /// Question to the receiver.
    pub query: Option<LoadQuery>,
    /// Answer to a question of the receiver.
    pub answer: Option<LoadAnswer>,
    /// Groups of workspaces for which the receiver, as their owner, is asked for all rates.
    pub rate_queries: Vec<WorkspaceGroup>,
    /// Answers to questions of the receiver for rates.
    pub rate_answers: Vec<RateAnswer>,
    /// Evidence against prompt parts.
    pub evidence: EvidenceMessage,
    /// What servers say of their limits.
    pub limits: Vec<(ServerKey, Notice)>,
    /// Which version began streams, for the receiver as their owner.
    pub notes: Vec<Note>,
    /// Recorded versions of the services, as their owner knows them.
    pub versions: Option<Vec<VersionOf>>,
    /// Servers that have broken a connection off or refused one, and may have started again.
    pub lost_servers: Vec<ServerKey>,
    /// Histories of retry budgets.
    pub retries: RetryMessage,
}

/// Confirmation by the store that a version is the newest one, as routers exchange it: without a
/// time on the local clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipConfirmation {
    /// The confirmed version.
    pub version: ConfigurationVersion,
    /// Time of the confirmation on the store's clock.
    pub store_time: Duration,
}

/// Wire format of the load on a server.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireLoad {
    server: u32,
    unread_tokens: u64,
    running: u64,
    memory_tokens: u64,
}

/// Wire format of the rates of a workspace.
#[derive(Debug, Serialize, Deserialize)]
pub struct WireWorkspaceRates {
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
    has_all_claims: bool,
    loads: Vec<WireLoad>,
    claims: Vec<WireWorkspaceRates>,
    parts: Vec<WirePart>,
    confirmed: Option<WireGossipConfirmation>,
    tables: Vec<WireTable>,
    query: Option<WireLoadQuery>,
    answer: Option<WireLoadAnswer>,
    claim_queries: Vec<u32>,
    claim_answers: Vec<WireRateAnswer>,
    evidence: WireEvidence,
    limits: Vec<WireLimit>,
    notes: Vec<u8>,
    versions: Option<Vec<(String, String)>>,
    lost_servers: Vec<u32>,
    retries: WireRetryMessage,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireTable {
    table: u8,
    era: u64,
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
struct WireGossipConfirmation {
    version: u64,
    store_time_ms: u64,
}

impl From<&GossipMessage> for WireGossipMessage {
    fn from(message: &GossipMessage) -> Self {
        Self {
            is_whole: message.report.replaces_loads,
            has_all_claims: message.report.replaces_rates,
            loads: message.report.loads.iter().map(WireLoad::from).collect(),
            claims: message
                .report
                .rates
                .iter()
                .map(WireWorkspaceRates::from)
                .collect(),
            parts: message.parts.iter().map(WirePart::from).collect(),
            confirmed: message.confirmation.map(WireGossipConfirmation::from),
            tables: message.tables.iter().map(WireTable::from).collect(),
            query: message.query.as_ref().map(WireLoadQuery::from),
            answer: message.answer.as_ref().map(WireLoadAnswer::from),
            claim_queries: message.rate_queries.clone(),
            claim_answers: message
                .rate_answers
                .iter()
                .map(WireRateAnswer::from)
                .collect(),
            evidence: WireEvidence::from(&message.evidence),
            limits: message.limits.iter().map(WireLimit::from).collect(),
            notes: encode_notes(&message.notes),
            versions: message.versions.as_ref().map(|versions| {
                let names = |of: &VersionOf| (of.service.clone(), of.version.clone());
                versions.iter().map(names).collect()
            }),
            lost_servers: message.lost_servers.clone(),
            retries: WireRetryMessage::from(&message.retries),
        }
    }
}

impl From<WireGossipMessage> for GossipMessage {
    fn from(wire: WireGossipMessage) -> Self {
        Self {
            report: PeerReport {
                replaces_loads: wire.is_whole,
                replaces_rates: wire.has_all_claims,
                loads: wire.loads.into_iter().map(From::from).collect(),
                rates: wire.claims.into_iter().map(From::from).collect(),
            },
            parts: wire.parts.into_iter().map(From::from).collect(),
            confirmation: wire.confirmed.map(GossipConfirmation::from),
            tables: wire.tables.into_iter().map(TableUpdate::from).collect(),
            query: wire.query.map(LoadQuery::from),
            answer: wire.answer.map(LoadAnswer::from),
            rate_queries: wire.claim_queries,
            rate_answers: wire
                .claim_answers
                .into_iter()
                .map(RateAnswer::from)
                .collect(),
            evidence: wire.evidence.into(),
            limits: wire.limits.into_iter().map(From::from).collect(),
            notes: decode_notes(&wire.notes),
            versions: wire.versions.map(|versions| {
                let version_of = |(service, version)| VersionOf { service, version };
                versions.into_iter().map(version_of).collect()
            }),
            lost_servers: wire.lost_servers,
            retries: wire.retries.into(),
        }
    }
}

/// Notes have the format of the store's rows.
fn encode_notes(notes: &[Note]) -> Vec<u8> {
    if notes.is_empty() {
        return Vec::new();
    }
    let row = RecordRow::Notes {
        number: 0,
        notes: notes.to_vec(),
    };
    row.encode().unwrap_or_else(|error| {
        log::error!("cannot encode what began streams: {error}");
        Vec::new()
    })
}

fn decode_notes(bytes: &[u8]) -> Vec<Note> {
    if bytes.is_empty() {
        return Vec::new();
    }
    match RecordRow::decode(bytes) {
        Ok(RecordRow::Notes { notes, .. }) => notes,
        Ok(RecordRow::Version(_)) => Vec::new(),
        Err(error) => {
            log::warn!("cannot decode what began streams: {error}");
            Vec::new()
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

impl From<&(WorkspaceId, WorkspaceRates)> for WireWorkspaceRates {
    // Casts from floats saturate.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn from((workspace, rates): &(WorkspaceId, WorkspaceRates)) -> Self {
        Self {
            workspace: *workspace,
            asked: rates.requested as u32,
            served: rates.served as u32,
        }
    }
}

impl From<WireWorkspaceRates> for (WorkspaceId, WorkspaceRates) {
    fn from(wire: WireWorkspaceRates) -> Self {
        let rates = WorkspaceRates {
            requested: f64::from(wire.asked),
            served: f64::from(wire.served),
        };
        (wire.workspace, rates)
    }
}

impl From<GossipConfirmation> for WireGossipConfirmation {
    fn from(confirmation: GossipConfirmation) -> Self {
        Self {
            version: confirmation.version,
            store_time_ms: millis(confirmation.store_time),
        }
    }
}

impl From<WireGossipConfirmation> for GossipConfirmation {
    fn from(wire: WireGossipConfirmation) -> Self {
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
            era: table.delta.era,
            since: table.delta.since,
            revision: table.delta.revision,
            changes: table.delta.changes.iter().map(WireChange::from).collect(),
        }
    }
}

impl From<WireTable> for TableUpdate {
    fn from(wire: WireTable) -> Self {
        let delta = TableDelta {
            era: wire.era,
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
