//! Failures of backend servers.

use quick_error::quick_error;

quick_error! {
    /// Why an engine's stream did not start or broke.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum EngineError {
        /// No connection could be made; no byte was sent.
        Unreachable(reason: String) {
            display("the engine can't be reached: {reason}")
        }
        /// The engine refused the request.
        Refused(status: u16) {
            display("the engine refused with status {status}")
        }
        /// The answer belongs to another request.
        Mistaken {
            display("the engine answered another request")
        }
        /// The stream broke or went silent.
        Broken(reason: String) {
            display("the engine's stream broke: {reason}")
        }
        /// The engine sent something that is not an event.
        Malformed(text: String) {
            display("the engine sent a malformed event: {text}")
        }
    }
}

impl EngineError {
    /// Returns the reason's name in metrics.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "engine_unreachable",
            Self::Refused(_) => "engine_refused",
            Self::Mistaken => "engine_mistaken",
            Self::Broken(_) => "engine_broken",
            Self::Malformed(_) => "engine_malformed",
        }
    }
}
