//! Failures of backend servers.

use quick_error::quick_error;

quick_error! {
    /// Why an engine's stream did not start, or why it broke.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EngineError {
        /// The connection could not be established; no byte was sent.
        Unreachable(reason: String) {
            display("the engine can't be reached: {reason}")
        }
        /// The engine rejected the request with this HTTP status.
        Refused(status: u16) {
            display("the engine rejected the request with status {status}")
        }
        /// The response carries the identifier of another request.
        WrongRequest {
            display("the engine responded to another request")
        }
        /// The stream was interrupted or exceeded its idle timeout.
        Broken(reason: String) {
            display("the engine's stream broke: {reason}")
        }
        /// The engine sent data that is not a chat completion event.
        Malformed(text: String) {
            display("the engine sent a malformed event: {text}")
        }
    }
}

impl EngineError {
    /// Returns the metric label of this error.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "engine_unreachable",
            Self::Refused(_) => "engine_refused",
            Self::WrongRequest => "engine_mistaken",
            Self::Broken(_) => "engine_broken",
            Self::Malformed(_) => "engine_malformed",
        }
    }
}
