//! Interface to the deployment's headers and servers' reports, so that the router does not depend on their
//! names.

use {
    baobab_limit::LimitPerS,
    baobab_place::{Prompt, ServerId},
    http::{HeaderMap, Uri, response},
    quick_error::quick_error,
    std::{net::SocketAddr, time::Duration},
};

quick_error! {
    /// Why a request head cannot be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeaderError {
        /// A required header is missing.
        Missing(name: &'static str) {
            display("the header {name} is missing")
        }
        /// A header's value is invalid.
        Invalid(name: &'static str) {
            display("the header {name} is invalid")
        }
    }
}

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestHeaders {
    /// Request id, chosen by the caller.
    pub id: String,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The caller's API key.
    pub key: Option<String>,
    /// Prompt for an engine, with the expected output.
    pub prompt: Option<Prompt>,
    /// Set if the caller takes a stream up again.
    pub take_up: Option<TakeUp>,
}

/// A stream that its caller takes up again, after the last event that it has received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TakeUp {
    /// Id of the request that brought the stream's first event, if the caller names it.
    pub begun_by: Option<String>,
    /// Id of the last event that the caller has received, if it is a number.
    pub last_event: Option<u64>,
}

/// Headers that the router adds to a forwarded request.
#[derive(Debug)]
pub struct ForwardHeaders<'a> {
    /// Time until the request's deadline.
    pub timeout: Option<Duration>,
    /// The only server that may run the request.
    pub server: &'a ServerId,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Engine from which cached prompt parts can be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Id of the last event that the caller has received, when a stream resumes.
    pub resume_after: Option<&'a str>,
}

/// Origin of a response, according to its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOrigin {
    /// The server's response to this request.
    Genuine,
    /// The server has not run the request because it is full or out of time.
    NotRun,
    /// Another server has the address, and has not run the request.
    WrongServer,
    /// The response to another request, or altered in transit.
    Foreign,
}

/// What a response says of its server's limit on the requests from all routers together.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitNotice {
    /// It names none: the server has no limit, or has none any more.
    #[default]
    None,
    /// It names this limit.
    Limit(LimitPerS),
    /// What it says cannot be read.
    Unreadable,
}

/// What a server says of itself in the head of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerNotices {
    /// Whether it is leaving and wants no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this router, if it has turned this one away.
    pub backoff: Option<Duration>,
    /// Its limit on the requests from all routers together.
    pub limit: LimitNotice,
}

/// Reads and writes the headers of one deployment, and reads its servers' reports.
pub trait HeaderCodec {
    /// Reads a caller's headers.
    ///
    /// # Errors
    ///
    /// Fails if a required header is missing or a header's value is invalid.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, HeaderError>;

    /// Removes headers that callers must not set or servers must not see.
    fn strip(&self, headers: &mut HeaderMap);

    /// Adds the router's headers to a forwarded request.
    fn encode_request(&self, headers: &mut HeaderMap, forward_headers: &ForwardHeaders);

    /// Classifies the head of a response to the request with this id. `is_reused` says whether the
    /// connection had another request before.
    fn classify_response(
        &self,
        id: &str,
        response: &response::Parts,
        is_reused: bool,
    ) -> ResponseOrigin;

    /// Reads what the server says of itself in the head of a response.
    fn decode_notices(&self, response: &response::Parts) -> ServerNotices;

    /// Returns where a server reports on itself.
    fn report_uri(&self) -> Uri;

    /// Reads when a server started, in Unix milliseconds, from its report on itself, if that says so.
    fn decode_report(&self, body: &[u8]) -> Option<u64>;
}
