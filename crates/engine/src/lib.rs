//! Backend servers as clients see them: token streams, orders and plain calls.

mod call;
mod error;
mod event;
mod http;
mod orders;
mod stream;

pub use {
    call::{CallOutcome, CallRequest, ServiceClient},
    error::EngineError,
    event::{Piece, parse_event},
    http::{HttpBackend, Timeouts},
    orders::{EngineOrder, OrderClient},
    stream::{EngineClient, Generation, TokenStream},
};
