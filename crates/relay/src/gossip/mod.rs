//! Gossip between routers over UDP.

mod message;
mod outbox;
mod owner_message;
mod peer_directory;
mod seal;
mod socket;

pub use {
    message::{GossipConfirmation, GossipMessage, PartUpdate, TableUpdate},
    outbox::Outbox,
    owner_message::{HolderAnswer, LoadAnswer, LoadQuery, QueryNumber, RateAnswer, ServerAnswer},
    peer_directory::{Owned, PeerDirectory},
    seal::PeerKey,
    socket::GossipSocket,
};
