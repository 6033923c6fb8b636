//! Orders that bring engines to their declared version, given by the host that holds a lease.

mod lease;
mod plan;

pub use {
    lease::{Lease, LeaseEvent, LeaseRecord, LeaseStep, ROW_KEY},
    plan::{EngineTarget, Order, Plan},
};
