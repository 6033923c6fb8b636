//! Orders to engines, with or without checking of fencing numbers.

use serde::{Deserialize, Serialize};

/// An order: the target that the engine shall reach.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of who gives it.
    pub fencing: u64,
    /// Model version to serve.
    pub version: String,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out.
    Done,
    /// Its fencing number is older than one seen before.
    OldFencing,
}

/// The orders that an engine was given.
#[derive(Debug, Default)]
pub struct Orders {
    checks_fencing: bool,
    highest: u64,
    version: String,
    carried_out: Vec<Order>,
}

impl Orders {
    /// Starts without any order.
    #[must_use]
    pub fn start(checks_fencing: bool) -> Self {
        Self {
            checks_fencing,
            ..Self::default()
        }
    }

    /// Takes an order.
    pub fn take(&mut self, order: Order) -> OrderOutcome {
        if self.checks_fencing && order.fencing < self.highest {
            return OrderOutcome::OldFencing;
        }
        self.highest = self.highest.max(order.fencing);
        self.version.clone_from(&order.version);
        self.carried_out.push(order);
        OrderOutcome::Done
    }

    /// Returns the version served.
    #[must_use]
    pub fn version(&self) -> &str {
        &self.version
    }

    /// Returns the orders carried out, in their order.
    #[must_use]
    pub fn carried_out(&self) -> &[Order] {
        &self.carried_out
    }
}
