//! Changes to be logged.

use crate::ServerKey;

/// Why a server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// It has announced that it is.
    Announcement,
    /// It has closed the connection of a request, or refused one.
    Crash,
    /// The server's domain was evacuated until recently.
    DomainReturned,
    /// Another router has asked for a permit because it takes the server for cold.
    PermitQuery,
}

/// A server that has become cold or warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdChange {
    /// The server.
    pub server: ServerKey,
    /// Why it is cold, or none if it is warm.
    pub evidence: Option<Evidence>,
}

/// A failure domain that was evacuated or returned to service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainChange {
    /// Name of the domain.
    pub domain: String,
    /// Whether it is evacuated.
    pub is_evacuated: bool,
}
