//! Forwards a request to a backend server and its response to the caller.

mod active_connection;
mod admission;
mod attempt;
mod attempts;
mod body_end;
mod broken_stream;
mod buffering;
mod counted_send;
mod cut_upload;
mod dispatch;
mod end_check;
mod event_framing;
mod events;
mod exchange;
mod headers;
mod job;
mod keep_alive;
mod kept;
mod load_guard;
mod problem;
mod retry_after;
mod run_check;
mod silence_timer;
mod standby;
mod stream;
mod stream_end;
mod stream_kind;
mod stream_timing;
mod waiting;

pub use {
    admission::check_quarantine,
    attempts::Attempts,
    broken_stream::BrokenStream,
    dispatch::{ForwardedResponse, dispatch},
    headers::remove_hop_headers,
    job::{Caller, Job, TakenUpStream, key_of},
    kept::KeptMemory,
    load_guard::LoadGuard,
    problem::{Problem, Reason},
    retry_after::{RefusalCause, retry_after},
    stream::StreamBody,
    stream_kind::StreamKind,
};
