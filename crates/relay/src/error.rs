//! Why the traffic thread cannot start.

use {quick_error::quick_error, std::net::SocketAddr};

quick_error! {
    /// A failed start.
    #[derive(Debug)]
    pub enum RelayError {
        /// An address of the settings cannot be used.
        Bind(address: SocketAddr, error: std::io::Error) {
            display("cannot listen on {address}: {error}")
        }
        /// The system refuses a thread or its event loop.
        Runtime(error: std::io::Error) {
            display("cannot start the traffic thread: {error}")
        }
    }
}
