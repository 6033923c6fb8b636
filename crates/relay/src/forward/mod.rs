//! Forwards a request to a backend server and its response to the caller.

mod admission;
mod attempt;
mod dispatch;
mod events;
mod exchange;
mod headers;
mod job;
mod load_guard;
mod problem;
mod retry_after;
mod stream;

pub use {
    dispatch::{Attempts, ForwardedResponse, dispatch},
    headers::remove_hop_headers,
    job::{Caller, Job},
    problem::{Problem, Reason},
    retry_after::{RefusalCause, retry_after},
    stream::{BrokenStream, StreamBody},
};
