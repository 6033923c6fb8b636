//! Cold servers and evacuated failure domains.
//!
//! Decides which servers are cold and until when, which failure domains are evacuated, and the rate of
//! requests that a server may get from all routers because of either. Performs no I/O; callers pass the
//! current time to every call.

mod availability;
mod change;
mod evacuation;
mod rate;
mod server;

pub use {
    availability::{Availability, ListingKind},
    change::{ColdChange, DomainChange, Evidence},
    rate::{ColdBounds, ColdService, MAX_PERMIT_AGE},
    server::{ServerKey, ServerRun},
};
