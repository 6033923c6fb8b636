//! Why an exchange had no answer.

use quick_error::quick_error;

quick_error! {
    /// How far a request came before it failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum SendError {
        /// Nothing of the request has left.
        NotSent(reason: String) {
            display("the request was not sent: {reason}")
        }
        /// The request has left, wholly or in part; the other side may have acted on it.
        Lost(reason: String) {
            display("the answer was lost: {reason}")
        }
    }
}
