//! Orders to engines.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An order: the target that the engine shall reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of who gives it.
    pub fencing: u64,
    /// Model version to serve.
    pub version: String,
}

/// A way to give orders to engines.
pub trait OrderClient: Send + Sync {
    /// Asks which version an engine serves; `None` where it does not answer.
    fn version(&self, address: SocketAddr) -> Option<String>;

    /// Gives an order. Returns whether the engine took it.
    fn order(&self, address: SocketAddr, order: &EngineOrder) -> bool;
}
