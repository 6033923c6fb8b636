//! Gossip between routers over UDP.

mod message;
mod outbox;
mod peer_directory;
mod seal;

pub use {
    message::{GossipConfirmation, GossipMessage, PartUpdate, TableUpdate},
    outbox::Outbox,
    peer_directory::PeerDirectory,
    seal::{PeerKey, SealError, Sender, seal},
};
