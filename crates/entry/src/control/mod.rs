//! The control thread: queues, roles, grants and peer messages.

mod command;
mod control;
mod dispatching;
mod health;
mod outbox;
mod pool;
mod prefixes;
mod queue;
mod socket;
mod streams;

pub use {
    command::{Arrival, Command, Ended, Go, Outcome, StreamId, Turn, TurnDenied},
    control::Control,
    socket::PeerSocket,
};
