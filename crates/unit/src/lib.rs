//! Identifiers, clocks, conversions and logging shared by all crates.

mod clock;
mod convert;
mod ids;
mod logs;
mod window;

pub use {
    clock::Clock,
    convert::{micros, millis, to_u32, to_u64},
    ids::{
        DomainId, EngineId, HostId, Incarnation, ModelId, PoolId, Sequence, Token, WorkspaceId,
        id_of, pool_id,
    },
    logs::{flush_logs, start_logs},
    window::Window,
};
