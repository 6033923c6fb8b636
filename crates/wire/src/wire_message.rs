//! Encoded form of the messages, and bounds of received values.

use {
    crate::{ConfigCopy, Heartbeat, Message, SyncMessage, WireError},
    baobab_fair::{
        EngineRow, Grant, Grants, PoolUpdate, PoolUpdateRow, Report, Revocation, StreamRow,
        SyncRow, WorkspaceRow,
    },
    baobab_unit::{
        EngineId, HostId, Incarnation, ModelId, PoolId, Sequence, Token, Window, WorkspaceId,
        millis,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Maximum number of waiting requests or running streams in one row, and maximum stream rate in
/// tokens a second.
const MAX_COUNT: u32 = 1_000_000;
/// Maximum validity of a grant.
const MAX_GRANT_VALIDITY: Duration = Duration::from_secs(5);

/// Encoded message.
#[derive(Debug, Serialize, Deserialize)]
pub enum WireMessage {
    Heartbeat(WireHeartbeat),
    Report(WireReport),
    Grants(WireGrants),
    News(WirePoolUpdate),
    Sync(WireSync),
    WantConfig,
    Config(WireConfig),
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WireHeartbeat {
    config_version: u64,
    draining: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WireReport {
    pool: PoolId,
    number: Sequence,
    base: Sequence,
    sent_at_ms: u64,
    dispatcher_incarnation: Incarnation,
    received: WireWindow,
    workspaces: Vec<WireWorkspaceRow>,
    streams: Vec<WireStreamRow>,
    engines: Vec<WireEngineRow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireWindow {
    highest: Sequence,
    mask: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireWorkspaceRow {
    workspace: WorkspaceId,
    waiting_urgent: u32,
    waiting: u32,
    tokens: Token,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireStreamRow {
    engine: EngineId,
    workspace: WorkspaceId,
    running: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireEngineRow {
    engine: EngineId,
    tokens: Token,
    failing: bool,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WireGrants {
    pool: PoolId,
    router_incarnation: Incarnation,
    applied: Sequence,
    router_time_ms: u64,
    grants: Vec<WireGrant>,
    revocations: Vec<WireRevocation>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRevocation {
    engine: EngineId,
    workspace: WorkspaceId,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireGrant {
    number: Sequence,
    engine: EngineId,
    workspace: WorkspaceId,
    urgent_only: bool,
    valid_ms: u64,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WirePoolUpdate {
    pool: PoolId,
    model: ModelId,
    number: Sequence,
    wants_sync: bool,
    stream_rate: u32,
    rows: Vec<WirePoolUpdateRow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WirePoolUpdateRow {
    workspace: WorkspaceId,
    tokens: Token,
    lift: Token,
    running: u32,
    waiting_urgent: u32,
    waiting: u32,
    router: HostId,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WireSync {
    pool: PoolId,
    rows: Vec<WireSyncRow>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireSyncRow {
    workspace: WorkspaceId,
    tokens: Token,
    lift: Token,
}

#[derive(Debug, Serialize, Deserialize)]
pub struct WireConfig {
    version: u64,
    digest: String,
    text: String,
}

/// Implements a conversion between structs by copying fields of the same name.
macro_rules! copy_fields {
    ($from:ty, $to:ident, $($field:ident),+) => {
        impl From<&$from> for $to {
            fn from(value: &$from) -> Self {
                Self { $($field: value.$field),+ }
            }
        }
    };
}

copy_fields!(Heartbeat, WireHeartbeat, config_version, draining);
copy_fields!(WireHeartbeat, Heartbeat, config_version, draining);
copy_fields!(Window, WireWindow, highest, mask);
copy_fields!(WireWindow, Window, highest, mask);
copy_fields!(
    WorkspaceRow,
    WireWorkspaceRow,
    workspace,
    waiting_urgent,
    waiting,
    tokens
);
copy_fields!(
    WireWorkspaceRow,
    WorkspaceRow,
    workspace,
    waiting_urgent,
    waiting,
    tokens
);
copy_fields!(StreamRow, WireStreamRow, engine, workspace, running);
copy_fields!(WireStreamRow, StreamRow, engine, workspace, running);
copy_fields!(EngineRow, WireEngineRow, engine, tokens, failing);
copy_fields!(WireEngineRow, EngineRow, engine, tokens, failing);
copy_fields!(
    PoolUpdateRow,
    WirePoolUpdateRow,
    workspace,
    tokens,
    lift,
    running,
    waiting_urgent,
    waiting,
    router
);
copy_fields!(
    WirePoolUpdateRow,
    PoolUpdateRow,
    workspace,
    tokens,
    lift,
    running,
    waiting_urgent,
    waiting,
    router
);
copy_fields!(Revocation, WireRevocation, engine, workspace);
copy_fields!(WireRevocation, Revocation, engine, workspace);
copy_fields!(SyncRow, WireSyncRow, workspace, tokens, lift);
copy_fields!(WireSyncRow, SyncRow, workspace, tokens, lift);

fn convert_rows<'a, S: 'a, T: From<&'a S>>(rows: &'a [S]) -> Vec<T> {
    rows.iter().map(T::from).collect()
}

fn check_count(count: u32) -> Result<(), WireError> {
    if count > MAX_COUNT {
        return Err(WireError::OutOfBounds);
    }
    Ok(())
}

impl From<&Message> for WireMessage {
    fn from(message: &Message) -> Self {
        match message {
            Message::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat.into()),
            Message::Report(report) => Self::Report(report.into()),
            Message::Grants(grants) => Self::Grants(grants.into()),
            Message::PoolUpdate(update) => Self::News(update.into()),
            Message::Sync(sync) => Self::Sync(WireSync {
                pool: sync.pool,
                rows: convert_rows(&sync.rows),
            }),
            Message::WantConfig => Self::WantConfig,
            Message::Config(copy) => Self::Config(WireConfig {
                version: copy.version,
                digest: copy.digest.clone(),
                text: copy.text.clone(),
            }),
        }
    }
}

impl TryFrom<WireMessage> for Message {
    type Error = WireError;

    fn try_from(message: WireMessage) -> Result<Self, WireError> {
        Ok(match message {
            WireMessage::Heartbeat(heartbeat) => Self::Heartbeat((&heartbeat).into()),
            WireMessage::Report(report) => Self::Report(report.try_into()?),
            WireMessage::Grants(grants) => Self::Grants(grants.try_into()?),
            WireMessage::News(update) => Self::PoolUpdate(update.try_into()?),
            WireMessage::Sync(sync) => Self::Sync(SyncMessage {
                pool: sync.pool,
                rows: convert_rows(&sync.rows),
            }),
            WireMessage::WantConfig => Self::WantConfig,
            WireMessage::Config(copy) => Self::Config(ConfigCopy {
                version: copy.version,
                digest: copy.digest,
                text: copy.text,
            }),
        })
    }
}

impl From<&Report> for WireReport {
    fn from(report: &Report) -> Self {
        Self {
            pool: report.pool,
            number: report.number,
            base: report.base,
            sent_at_ms: millis(report.sent_at),
            dispatcher_incarnation: report.dispatcher_incarnation,
            received: (&report.received).into(),
            workspaces: convert_rows(&report.workspaces),
            streams: convert_rows(&report.streams),
            engines: convert_rows(&report.engines),
        }
    }
}

impl TryFrom<WireReport> for Report {
    type Error = WireError;

    fn try_from(report: WireReport) -> Result<Self, WireError> {
        for row in &report.workspaces {
            check_count(row.waiting)?;
            check_count(row.waiting_urgent)?;
        }
        for row in &report.streams {
            check_count(row.running)?;
        }
        Ok(Self {
            pool: report.pool,
            number: report.number,
            base: report.base,
            sent_at: Duration::from_millis(report.sent_at_ms),
            dispatcher_incarnation: report.dispatcher_incarnation,
            received: (&report.received).into(),
            workspaces: convert_rows(&report.workspaces),
            streams: convert_rows(&report.streams),
            engines: convert_rows(&report.engines),
        })
    }
}

impl From<&Grants> for WireGrants {
    fn from(grants: &Grants) -> Self {
        Self {
            pool: grants.pool,
            router_incarnation: grants.router_incarnation,
            applied: grants.applied,
            router_time_ms: millis(grants.router_time),
            grants: convert_rows(&grants.grants),
            revocations: convert_rows(&grants.revocations),
        }
    }
}

impl From<&Grant> for WireGrant {
    fn from(grant: &Grant) -> Self {
        Self {
            number: grant.number,
            engine: grant.engine,
            workspace: grant.workspace,
            urgent_only: grant.urgent_only,
            valid_ms: millis(grant.valid),
        }
    }
}

impl TryFrom<WireGrants> for Grants {
    type Error = WireError;

    fn try_from(grants: WireGrants) -> Result<Self, WireError> {
        let list: Result<Vec<Grant>, WireError> =
            grants.grants.into_iter().map(Grant::try_from).collect();
        Ok(Self {
            pool: grants.pool,
            router_incarnation: grants.router_incarnation,
            applied: grants.applied,
            router_time: Duration::from_millis(grants.router_time_ms),
            grants: list?,
            revocations: convert_rows(&grants.revocations),
        })
    }
}

impl TryFrom<WireGrant> for Grant {
    type Error = WireError;

    fn try_from(grant: WireGrant) -> Result<Self, WireError> {
        let valid = Duration::from_millis(grant.valid_ms);
        if valid > MAX_GRANT_VALIDITY || grant.number == 0 {
            return Err(WireError::OutOfBounds);
        }
        Ok(Self {
            number: grant.number,
            engine: grant.engine,
            workspace: grant.workspace,
            urgent_only: grant.urgent_only,
            valid,
        })
    }
}

impl From<&PoolUpdate> for WirePoolUpdate {
    fn from(update: &PoolUpdate) -> Self {
        Self {
            pool: update.pool,
            model: update.model,
            number: update.number,
            wants_sync: update.wants_sync,
            stream_rate: update.stream_rate,
            rows: convert_rows(&update.rows),
        }
    }
}

impl TryFrom<WirePoolUpdate> for PoolUpdate {
    type Error = WireError;

    fn try_from(update: WirePoolUpdate) -> Result<Self, WireError> {
        check_count(update.stream_rate)?;
        for row in &update.rows {
            check_count(row.running)?;
            check_count(row.waiting)?;
            check_count(row.waiting_urgent)?;
        }
        Ok(Self {
            pool: update.pool,
            model: update.model,
            number: update.number,
            wants_sync: update.wants_sync,
            stream_rate: update.stream_rate,
            rows: convert_rows(&update.rows),
        })
    }
}
