//! Interface to engines.

use {
    crate::{EngineError, StreamEvent},
    std::net::SocketAddr,
};

/// A request to generate tokens.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// Request identifier, which the engine echoes in its response.
    pub id: String,
    /// Chat completion request as JSON.
    pub body: Vec<u8>,
    /// Number of tokens already received, which the engine skips.
    pub offset: u64,
}

/// Tokens of one response.
pub trait TokenStream: Send {
    /// Waits for the next event.
    ///
    /// # Errors
    ///
    /// Fails if the stream breaks, exceeds its idle timeout or is malformed.
    fn next(&mut self) -> Result<StreamEvent, EngineError>;
}

/// Client of engines.
pub trait EngineClient: Send + Sync {
    /// Sends a request and opens its token stream.
    ///
    /// # Errors
    ///
    /// Fails if the engine can't be reached or rejects the request.
    fn open(
        &self,
        address: SocketAddr,
        generation: &GenerationRequest,
    ) -> Result<Box<dyn TokenStream>, EngineError>;

    /// Asks the engine to stop generating; it may not have noticed that the connection is lost.
    fn cancel(&self, address: SocketAddr, id: &str);
}
