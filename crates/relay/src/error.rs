//! Errors of starting the traffic thread.

use {quick_error::quick_error, std::net::SocketAddr};

quick_error! {
    /// Why the traffic thread cannot start.
    #[derive(Debug)]
    pub enum RelayError {
        /// An address of the settings cannot be bound.
        Bind(address: SocketAddr, error: std::io::Error) {
            display("cannot listen on {address}: {error}")
        }
        /// The thread or its event loop cannot be created.
        Runtime(error: std::io::Error) {
            display("cannot start the traffic thread: {error}")
        }
    }
}
