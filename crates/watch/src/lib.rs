//! Follows a table of the store: lists it, polls for changes, and recovers from gaps in the
//! history, outages, timeouts and stale responses.

mod backoff;
mod clock;
mod error;
mod follower;
mod follower_gossip;
mod freshness;
mod source;
mod store_clock;
mod table_gossip;

pub use {
    backoff::Backoff,
    clock::suspension_clock,
    error::SourceError,
    follower::{Follower, PollTiming, Signals},
    freshness::Freshness,
    source::{Change, Changes, Era, Listener, Listing, Revision, Row, Source, SourceFuture},
    store_clock::StoreClock,
    table_gossip::{DeltaFuture, TableDelta, TableGossip},
};
