//! Errors of sending a request.

use {
    quick_error::quick_error,
    std::{error::Error, io},
};

quick_error! {
    /// Why a request got no response, and whether the server may have received it.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// No byte of the request was sent.
        NotSent(reason: String) {
            display("the request was not sent: {reason}")
        }
        /// At least part of the request was sent, and the server closed the connection before the head
        /// of a response.
        Closed(reason: String) {
            display("the server closed the connection: {reason}")
        }
        /// At least part of the request was sent; the server may have run it.
        Lost(reason: String) {
            display("the response was lost: {reason}")
        }
    }
}

/// Whether the server closed the connection, rather than this side after a timeout.
#[must_use]
pub fn is_closed_by_server(error: &hyper::Error) -> bool {
    let mut source = error.source();
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return error.kind() != io::ErrorKind::TimedOut;
        }
        source = error.source();
    }
    error.is_incomplete_message()
}
