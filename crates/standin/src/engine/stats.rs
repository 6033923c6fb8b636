//! Statistics of an engine.

use serde::{Deserialize, Serialize};

/// Counters of an engine since it started.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Streams in flight.
    pub running: u32,
    /// Batch size that the engine is designed for.
    pub slots: u32,
    /// Busy time of the slots, in slot-milliseconds; excludes streams in excess of the slots.
    pub busy_slot_ms: u64,
    /// Time of streams in excess of the slots, in slot-milliseconds.
    pub overload_slot_ms: u64,
    /// Time since the start, in milliseconds.
    pub uptime_ms: u64,
    /// Streams started.
    pub started: u64,
    /// Streams that were cancelled or whose client disconnected.
    pub cancelled: u64,
    /// Streams started at an offset greater than zero.
    pub resumed: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
    /// Tokens generated.
    pub tokens: u64,
}
