//! Orders to engines: a declared target, carried out by one holder of a lease.

mod lease;
mod plan;

pub use {
    lease::{Lease, LeaseEvent, LeaseRecord, LeaseStep, ROW_KEY},
    plan::{EngineTarget, Order, Plan},
};
