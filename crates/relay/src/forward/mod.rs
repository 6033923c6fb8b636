//! The way of one request to a backend server and back.

mod attempt;
mod dispatch;
mod events;
mod exchange;
mod headers;
mod job;
mod lease;
mod problem;
mod retry_after;
mod room;
mod stream;

pub use {
    dispatch::{Attempts, Reply, dispatch},
    headers::remove_hop_headers,
    job::{Caller, Job},
    problem::{Problem, Reason},
    retry_after::{Load as RetryLoad, retry_after},
    stream::{BrokenStream, StreamBody},
};
