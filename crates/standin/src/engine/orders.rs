//! Orders to an engine, optionally checked by fencing number.

use serde::{Deserialize, Serialize};

/// Order that sets the model version an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the sender.
    pub fencing: u64,
    /// Model version to serve.
    pub version: String,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was applied.
    Applied,
    /// Refused: its fencing number is lower than one seen before.
    StaleFencing,
}

/// Order state of an engine.
#[derive(Debug, Default)]
pub struct Orders {
    checks_fencing: bool,
    highest_fencing: u64,
    version: String,
    applied: Vec<Order>,
}

impl Orders {
    /// Creates the state without any order.
    #[must_use]
    pub fn start(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            ..Self::default()
        }
    }

    /// Applies an order unless its fencing number is stale.
    pub fn apply(&mut self, order: Order) -> OrderOutcome {
        if self.checks_fencing && order.fencing < self.highest_fencing {
            return OrderOutcome::StaleFencing;
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        self.version.clone_from(&order.version);
        self.applied.push(order);
        OrderOutcome::Applied
    }

    /// Returns the served version; empty before the first order.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the applied orders, oldest first.
    #[must_use]
    pub fn applied(&self) -> &[Order] {
        &self.applied
    }
}
