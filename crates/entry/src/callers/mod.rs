//! The callers' interface.

mod answer;
mod chat;
mod completion;
mod handler;
mod problem;
mod service;
mod turn;

pub use handler::Callers;
