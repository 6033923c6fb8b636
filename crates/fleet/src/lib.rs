//! Liveness of hosts and the choice of each pool's dispatcher.

mod membership;
mod rendezvous;

pub use {
    membership::{Member, Membership},
    rendezvous::rendezvous_score,
};
