//! Failures of the platform.

use quick_error::quick_error;

quick_error! {
    /// Why the platform gave no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The call was refused before it took effect.
        Unavailable(reason: String) {
            display("the platform is unavailable: {reason}")
        }
        /// The call was sent and its reply was lost; a write may have taken effect.
        ReplyLost(reason: String) {
            display("the platform's reply was lost: {reason}")
        }
    }
}
