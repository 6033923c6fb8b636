//! The HTTP/1.1 client that all calls to engines, services and the store go through.

mod connection;
mod error;
mod sockets;

pub use {
    connection::{Connection, Options},
    error::SendError,
    sockets::tune,
};
