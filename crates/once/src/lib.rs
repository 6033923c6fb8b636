//! At-most-once execution of non-idempotent requests.
//!
//! A row in the platform's table records the start of a request before its first byte is sent.
//! A started request is never taken over, so correctness depends on no clock and no lease.

mod attempt;
mod record;
mod runner;

pub use {
    attempt::{Attempt, Event, NotRunReason, RequestOutcome, SendOutcome, Step},
    record::{Record, RecordState, ServiceResponse},
    runner::{RequestSender, run},
};
