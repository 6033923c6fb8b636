//! Messages between routers.

use {
    baobab_fair::{Grants, PoolUpdate, Report, SyncRow},
    baobab_unit::PoolId,
};

/// Liveness of a host, its configuration version and its drain state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Version of the active configuration.
    pub config_version: u64,
    /// Whether the host is about to stop and accepts no role.
    pub draining: bool,
}

/// A peer's counters of a pool, for the pool's new dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncMessage {
    /// The pool.
    pub pool: PoolId,
    /// The counters by workspace.
    pub rows: Vec<SyncRow>,
}

/// A copy of the sender's active configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigCopy {
    /// Version; zero if no configuration is active.
    pub version: u64,
    /// Digest of the text, in hexadecimal.
    pub digest: String,
    /// The text as applied.
    pub text: String,
}

/// A message in a packet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Liveness and configuration version of the sender.
    Heartbeat(Heartbeat),
    /// From a router to a dispatcher.
    Report(Report),
    /// From a dispatcher to a router.
    Grants(Grants),
    /// From a dispatcher to the dispatchers of other pools.
    PoolUpdate(PoolUpdate),
    /// From a dispatcher to a new one.
    Sync(SyncMessage),
    /// Requests the active configuration, over TCP.
    WantConfig,
    /// Response to `WantConfig`.
    Config(ConfigCopy),
}

impl Message {
    /// Returns the name of the message's kind in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Report(_) => "report",
            Self::Grants(_) => "grants",
            Self::PoolUpdate(_) => "news",
            Self::Sync(_) => "sync",
            Self::WantConfig => "want_config",
            Self::Config(_) => "config",
        }
    }
}
