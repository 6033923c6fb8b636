//! Errors of sending a request.

use quick_error::quick_error;

quick_error! {
    /// Why a request got no response, and whether the server may have received it.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// No byte of the request was sent.
        NotSent(reason: String) {
            display("the request was not sent: {reason}")
        }
        /// At least part of the request was sent; the server may have run it.
        Lost(reason: String) {
            display("the response was lost: {reason}")
        }
    }
}
