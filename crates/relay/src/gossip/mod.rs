//! What routers tell each other by datagram.

mod book;
mod message;
mod seal;

pub use {
    book::Book,
    message::{Confirmed, News, ToldPart},
    seal::{PeerKey, SealError, Sender, seal},
};
