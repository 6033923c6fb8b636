//! The engine stand-in: continuous batching, a prefix cache, late load reports and orders.

mod batch;
mod conf;
mod orders;
mod server;
mod stats;

pub use {
    batch::Batch,
    conf::{EngineConf, parse_engines},
    orders::{Order, OrderOutcome, Orders},
    server::EngineServer,
    stats::EngineStats,
};
