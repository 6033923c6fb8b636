//! Interfaces to the platform's transactional table, object store and host list, with clients.

mod error;
mod http;
mod memory;
mod model;

pub use {
    error::StoreError,
    http::HttpStore,
    memory::{Faults, MemoryStore, Usage},
    model::{
        Call, HostEntry, HostList, HostState, Insert, Inserted, ObjectStore, Platform, Replace,
        Replaced, Row, Table, Write,
    },
};
