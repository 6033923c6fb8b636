//! Authenticated messages between routers, encoded with postcard.

mod codec;
mod error;
mod guard;
mod message;
mod rows;

pub use {
    codec::{Codec, FleetKey, Packet},
    error::WireError,
    guard::Guard,
    message::{ConfigCopy, Heartbeat, Message, SyncMessage},
};
