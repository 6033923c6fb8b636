//! Connections of callers, with their requests and responses.

mod activity;
mod admit;
mod connection;
mod in_flight;
mod listener;
mod refused_body;
mod response;
mod service;

pub use listener::{ConnectionPermit, accept, bind, serve};
