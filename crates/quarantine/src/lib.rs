//! Quarantine of prompt parts and requests that crash every server that begins to answer them.
//!
//! Performs no I/O; callers pass the current time to every call. Evidence may arrive late, twice
//! and in any order.

mod crash;
mod crash_log;
mod decision;
mod exchange;
mod hold;
mod independent;
mod quarantine;
mod record;
mod settled;
mod soundness;
mod span;
mod suspect;

pub use {
    crash::{Crash, MAX_PARTS, PartId, RequestKey, ServerKey, Stage},
    decision::{Decision, Findings, Verdict},
    hold::PROBE_INTERVAL,
    quarantine::Quarantine,
    record::{MAX_RECORDS, Record},
    soundness::Proof,
};
