//! A bounded HTTP/1.1 server for long streams.
//!
//! It bounds what a general server leaves open: the time for a head, the size of a body, the
//! number of connections. Heads are parsed by `httparse`.

mod chunked;
mod connection;
mod limits;
mod reply;
mod request;
mod server;

pub use {
    limits::Limits,
    reply::{Header, Reply, Stream},
    request::{Rejection, Request},
    server::{Handler, Server},
};
