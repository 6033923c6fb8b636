//! The router: accepts callers' requests, queues them and streams the responses.

mod admin;
mod audit_log;
mod callers;
mod config;
mod context;
mod control;
mod metrics;
mod orders;
mod router;

pub use router::{Router, RouterError};
