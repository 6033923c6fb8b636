//! The platform's transactional table, object store and host list.

mod error;
mod http;
mod memory;
mod model;

pub use {
    error::PlatformError,
    http::HttpPlatform,
    memory::{Faults, MemoryPlatform, Usage},
    model::{
        Call, HostEntry, HostList, HostState, Insert, Inserted, Objects, Platform, Replace,
        Replaced, Row, Table, Write,
    },
};
