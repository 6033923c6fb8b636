//! The HTTP interface for callers.

mod chat;
mod chat_response;
mod completion;
mod handler;
mod problem;
mod queueing;
mod service;

pub use handler::CallerHandler;
