//! Callers: their connections, their requests and what they are answered.

mod admit;
mod answer;
mod connection;
mod gauge;
mod listener;
mod service;
mod under_way;

pub use listener::{bind, serve};
