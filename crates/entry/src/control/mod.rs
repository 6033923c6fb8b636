//! The control thread: queues, roles, grants and peer messages.

mod command;
mod dispatching;
mod health;
mod outbox;
mod pool;
mod prefixes;
mod queue;
mod socket;
mod starting;
mod streams;
mod thread;

pub use {
    command::{Arrival, Command, Ended, Go, Origin, Outcome, StreamId, Turn, TurnDenied},
    socket::PeerSocket,
    thread::Control,
};
