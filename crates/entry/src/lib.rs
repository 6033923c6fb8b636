//! The router: takes callers in, queues their requests and streams the answers.

mod admin;
mod callers;
mod config;
mod context;
mod control;
mod journal;
mod metrics;
mod orders;
mod router;

pub use router::{Router, RouterError};
