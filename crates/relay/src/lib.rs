//! The traffic thread: accepts callers' requests, forwards each to the backend server that
//! `baobab-place` chooses, and returns the response.

mod callers;
mod command;
mod core;
mod error;
mod forward;
mod gossip;
mod header_codec;
mod identity;
mod metrics;
mod operators;
mod overload;
mod pool;
mod relay;
mod settings;
mod shared;
mod shared_tables;
mod ticker;

pub use {
    command::{Command, PeerHost},
    error::RelayError,
    gossip::{Outbox, PeerKey},
    header_codec::{
        ForwardHeaders, HeaderCodec, HeaderError, RequestHeaders, ResponseOrigin, ServerNotices,
    },
    identity::Identity,
    overload::Overload,
    relay::{Handle, spawn},
    settings::{Bounds, Settings},
    shared::Shared,
    shared_tables::{SharedTables, TableGossipChannel},
};
