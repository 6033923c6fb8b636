//! Which hosts live, and which of them dispatches a pool.

mod membership;
mod rendezvous;

pub use {
    membership::{Member, Membership},
    rendezvous::score,
};
