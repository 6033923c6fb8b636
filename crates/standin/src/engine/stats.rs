//! What an engine has done.

use serde::{Deserialize, Serialize};

/// Figures of an engine since it started.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Streams running.
    pub running: u32,
    /// Streams that it is meant for.
    pub slots: u32,
    /// Time of busy slots, summed; streams beyond the slots don't count.
    pub busy_slot_ms: u64,
    /// Time of streams beyond the slots, summed.
    pub overload_slot_ms: u64,
    /// Time since the start.
    pub uptime_ms: u64,
    /// Streams started.
    pub started: u64,
    /// Streams that were cancelled or whose caller went away.
    pub cancelled: u64,
    /// Streams resumed at an offset.
    pub resumed: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
    /// Tokens generated.
    pub tokens: u64,
}
