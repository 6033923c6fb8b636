//! Follows a table of the store: reads it whole, then its changes, and recovers from gaps,
//! outages, silence and stale answers.

mod backoff;
mod clock;
mod error;
mod follower;
mod freshness;
mod gossip;
mod source;
mod store_clock;
mod table_gossip;

pub use {
    backoff::Backoff,
    clock::suspension_clock,
    error::SourceError,
    follower::{Follower, PollTiming, Signals},
    freshness::Freshness,
    source::{Change, Changes, Listener, Listing, Revision, Row, Source, SourceFuture},
    store_clock::StoreClock,
    table_gossip::{DeltaFuture, TableDelta, TableGossip},
};
