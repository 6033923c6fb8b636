//! Authenticated messages between routers, encoded with postcard.

mod codec;
mod error;
mod message;
mod replay_guard;
mod rows;

pub use {
    codec::{Codec, FleetKey, Packet},
    error::WireError,
    message::{ConfigCopy, Heartbeat, Message, SyncMessage},
    replay_guard::ReplayGuard,
};
