//! HTTP/1.1 server for long streams, with limits on each resource that a caller may use.
//!
//! It limits what a general server leaves unlimited: the time for a head, the size of a body and
//! the number of connections. `httparse` parses the heads.

mod chunked;
mod limits;
mod request;
mod request_reader;
mod response_writer;
mod server;

pub use {
    limits::Limits,
    request::{Rejection, Request},
    response_writer::{Header, ResponseWriter, Stream},
    server::{Handler, Server},
};
