//! The control thread: request queue, dispatcher roles, grants and messages to peers.

mod command;
mod grants;
mod health;
mod outbox;
mod pool;
mod pool_manager;
mod prefixes;
mod queue;
mod socket;
mod streams;
mod thread;

pub use {
    command::{
        Command, DenialReason, QueueReason, QueueReply, QueuedRequest, SlotGrant, StreamEnd,
        StreamId, StreamOutcome,
    },
    socket::PeerSocket,
    thread::Control,
};
