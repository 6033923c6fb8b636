//! Authenticated messages between routers, encoded with postcard.

mod codec;
mod error;
mod message;
mod replay_guard;
mod wire_message;

pub use {
    codec::{Codec, FleetKey, Packet},
    error::WireError,
    message::{ConfigCopy, Heartbeat, Message, SyncMessage},
    replay_guard::ReplayGuard,
};
