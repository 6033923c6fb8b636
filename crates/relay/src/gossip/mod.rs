//! Gossip between routers over UDP.

mod evidence_message;
mod message;
mod outbox;
mod owner_message;
mod peer_directory;
mod retry_message;
mod seal;
mod socket;

pub use {
    evidence_message::{Clearance, CrashReport, EvidenceMessage},
    message::{GossipConfirmation, GossipMessage, PartUpdate, TableUpdate},
    outbox::Outbox,
    owner_message::{
        HolderAnswer, LoadAnswer, LoadQuery, PermitAnswer, PermitQuery, QueryNumber, RateAnswer,
        ServerAnswer, StreamQuery,
    },
    peer_directory::{Owned, PeerDirectory},
    retry_message::{KeptHistory, RetryMessage},
    seal::{PeerKey, SealError, Sender, seal},
    socket::GossipSocket,
};
