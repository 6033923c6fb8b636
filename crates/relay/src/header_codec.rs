//! The names that callers and backend servers use on the wire, kept out of the decisions.

use {
    baobab_place::{Prompt, ServerId},
    http::{HeaderMap, response},
    quick_error::quick_error,
    std::{net::SocketAddr, time::Duration},
};

quick_error! {
    /// A request head that cannot be understood.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeaderError {
        /// A header is missing.
        Missing(name: &'static str) {
            display("the header {name} is missing")
        }
        /// A header's value cannot be read.
        Unreadable(name: &'static str) {
            display("the header {name} cannot be read")
        }
    }
}

/// What a caller says of its request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestHeaders {
    /// Identity of the request, drawn by the caller.
    pub id: String,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// What it asks an engine to read and generate.
    pub prompt: Option<Prompt>,
}

/// What a router says to the backend server.
#[derive(Debug)]
pub struct ForwardHeaders<'a> {
    /// Time that is left for the request.
    pub timeout: Option<Duration>,
    /// The only server that may run it.
    pub server: &'a ServerId,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Engine to fetch cached prompt parts from.
    pub fetch_from: Option<SocketAddr>,
    /// Last event of the stream that the caller has.
    pub resume_after: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOrigin {
    /// The server's own answer to this request.
    Genuine,
    /// The server has not run the request because it is full or out of time.
    NotRun,
    /// Another server has the address; it has not run the request.
    WrongServer,
    /// The answer to some other request, or altered on its way.
    Foreign,
}

/// Reads and writes the headers of one deployment.
pub trait HeaderCodec {
    /// Reads a caller's headers.
    ///
    /// # Errors
    ///
    /// Fails where a header that is needed is missing or cannot be read.
    fn decode_request(&self, headers: &HeaderMap) -> Result<RequestHeaders, HeaderError>;

    /// Removes what callers must not set or servers must not see.
    fn strip(&self, headers: &mut HeaderMap);

    /// Adds what the router tells the server.
    fn encode_request(&self, headers: &mut HeaderMap, forward_headers: &ForwardHeaders);

    /// Judges the head of an answer to the request with this identity.
    fn classify_response(&self, id: &str, answer: &response::Parts) -> ResponseOrigin;
}
