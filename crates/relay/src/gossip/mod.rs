//! Gossip between routers over UDP.

mod message;
mod outbox;
mod peer_directory;
mod seal;
mod socket;

pub use {
    message::{
        GossipConfirmation, GossipMessage, HolderAnswer, LoadAnswer, LoadQuery, PartUpdate,
        QueryNumber, RateAnswer, ServerAnswer, TableUpdate,
    },
    outbox::Outbox,
    peer_directory::{Owned, PeerDirectory},
    seal::PeerKey,
    socket::GossipSocket,
};
