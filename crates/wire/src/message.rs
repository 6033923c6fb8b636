//! The messages between routers.

use {
    baobab_fair::{Grants, News, Report, SyncRow},
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
    News(News),
    /// From a dispatcher to a new one.
    Sync(SyncMessage),
}

impl Message {
    /// Returns the kind's name in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "heartbeat",
            Self::Report(_) => "report",
            Self::Grants(_) => "grants",
            Self::News(_) => "news",
            Self::Sync(_) => "sync",
        }
    }
}
