//! What routers tell each other by datagram.

mod book;
mod message;
mod outbox;
mod seal;

pub use {
    book::Book,
    message::{Confirmed, News, ToldPart, ToldTable},
    outbox::Outbox,
    seal::{PeerKey, SealError, Sender, seal},
};
