//! Connections of callers, with their requests and responses.

mod activity;
mod admit;
mod connection;
mod in_flight;
mod listener;
mod refused_body;
mod response;
mod service;
mod turned_away;

pub use {
    listener::{ConnectionPermit, UnreadConnection, accept, bind, serve},
    turned_away::{UnreadRefusal, discard_request, refuse_unread},
};
