//! Orders to engines.

use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An order to an engine to serve a model version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the lease holder that sends it.
    pub fencing: u64,
    /// Model version to serve.
    pub version: String,
}

/// Client for orders to engines.
pub trait OrderClient: Send + Sync {
    /// Returns the model version that an engine serves, or `None` if it does not respond.
    fn version(&self, address: SocketAddr) -> Option<String>;

    /// Sends an order. Returns whether the engine accepted it.
    fn order(&self, address: SocketAddr, order: &EngineOrder) -> bool;
}
