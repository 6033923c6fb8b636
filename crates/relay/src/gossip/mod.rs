//! Gossip between routers over UDP.

mod message;
mod outbox;
mod peer_directory;
mod seal;

pub use {
    message::{GossipMessage, PartUpdate, TableUpdate, VersionConfirmation},
    outbox::Outbox,
    peer_directory::PeerDirectory,
    seal::{PeerKey, SealError, Sender, seal},
};
