//! Why a stream ended early.

use quick_error::quick_error;

quick_error! {
    /// Why a stream ended early; the caller's connection is closed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BrokenStream {
        /// The server failed, and the stream could not be resumed.
        Server(reason: String) {
            display("the stream broke off: {reason}")
        }
        /// The deadline of the request passed.
        Timeout {
            display("the deadline of the request passed")
        }
    }
}
