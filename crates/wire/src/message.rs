//! The messages between routers.

use {
    baobab_fair::{Grants, PoolUpdate, Report, SyncRow},
    baobab_unit::PoolId,
};

/// Sign of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heartbeat {
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Whether the host is about to stop and takes no role.
    pub draining: bool,
}

/// What is known of a pool, for its new dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SyncMessage {
    /// The pool.
    pub pool: PoolId,
    /// The rows.
    pub rows: Vec<SyncRow>,
}

/// A copy of the configuration in force on the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigCopy {
    /// Version; zero where none is in force.
    pub version: u64,
    /// Digest of the text, in hexadecimal.
    pub digest: String,
    /// The text as applied.
    pub text: String,
}

/// One message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Sign of life.
    Heartbeat(Heartbeat),
    /// From a router to a dispatcher.
    Report(Report),
    /// From a dispatcher to a router.
    Grants(Grants),
    /// From a dispatcher to the others.
    PoolUpdate(PoolUpdate),
    /// From a dispatcher to a new one.
    Sync(SyncMessage),
    /// Asks, over TCP, for the configuration in force.
    WantConfig,
    /// Answers it.
    Config(ConfigCopy),
}

impl Message {
    /// Returns the kind's name in metrics.
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
