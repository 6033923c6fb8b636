//! Requests that must not be repeated run at most once.
//!
//! A row of the platform's table says that a request was started before its first byte leaves.
//! Nobody takes a started request over, so no clock and no lease is trusted.

mod attempt;
mod record;
mod runner;

pub use {
    attempt::{Attempt, Event, NotRunReason, Sent, Step, Verdict},
    record::{Answer, Record, RecordState},
    runner::{Sender, run},
};
