//! Simulated model engine: continuous batching, a prefix cache, delayed load reports and orders.

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
