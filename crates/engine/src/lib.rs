//! Clients of backend servers: token streams of engines, orders to engines and calls of services.

mod call;
mod error;
mod event;
mod http;
mod orders;
mod stream;

pub use {
    call::{CallOutcome, CallRequest, ServiceClient},
    error::EngineError,
    event::{StreamEvent, parse_event},
    http::{HttpBackendClient, Timeouts},
    orders::{EngineOrder, OrderClient},
    stream::{EngineClient, GenerationRequest, TokenStream},
};
