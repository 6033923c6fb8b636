//! Errors of platform calls.

use quick_error::quick_error;

quick_error! {
    /// Why a platform call returned no result.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The call was rejected and had no effect.
        Unavailable(reason: String) {
            display("the platform is unavailable: {reason}")
        }
        /// The reply to the call was lost; a write may have taken effect.
        ReplyLost(reason: String) {
            display("the platform's reply was lost: {reason}")
        }
    }
}
