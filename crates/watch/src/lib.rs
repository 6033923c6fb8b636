//! Follows a table of the store: reads it whole, then its changes, and recovers from gaps,
//! outages, silence and stale answers.

mod backoff;
mod clock;
mod error;
mod follower;
mod freshness;
mod hearing;
mod neighbours;
mod source;
mod store_clock;

pub use {
    backoff::Backoff,
    clock::suspension_clock,
    error::SourceError,
    follower::{Follower, Pace, Signals},
    freshness::Freshness,
    neighbours::{Hearing, Neighbours, Told},
    source::{Answer, Change, Changes, Listener, Listing, Revision, Row, Source},
    store_clock::StoreClock,
};
