//! HTTP/1.1 client for all calls to engines, services and the store.

mod connection;
mod error;
mod sockets;
mod upload;

pub use {
    connection::{Connection, Options},
    error::{SendError, is_closed_by_server},
    sockets::configure_socket,
};
