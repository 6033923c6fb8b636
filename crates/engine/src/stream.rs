//! The interface to engines.

use {
    crate::{EngineError, Piece},
    std::net::SocketAddr,
};

/// A request to generate.
#[derive(Debug, Clone)]
pub struct Generation {
    /// Identifier that the engine repeats in its answer.
    pub id: String,
    /// The chat completion request, as JSON.
    pub body: Vec<u8>,
    /// Tokens that were received already and must not be sent again.
    pub offset: u64,
}

/// Tokens of one answer.
pub trait TokenStream: Send {
    /// Waits for the next piece.
    ///
    /// # Errors
    ///
    /// Fails where the stream breaks, goes silent or is malformed.
    fn next(&mut self) -> Result<Piece, EngineError>;
}

/// A way to engines.
pub trait EngineClient: Send + Sync {
    /// Starts a stream.
    ///
    /// # Errors
    ///
    /// Fails where the engine can't be reached or refuses.
    fn open(
        &self,
        address: SocketAddr,
        generation: &Generation,
    ) -> Result<Box<dyn TokenStream>, EngineError>;

    /// Asks the engine to stop generating, for streams whose connection may be lost to it.
    fn cancel(&self, address: SocketAddr, id: &str);
}
