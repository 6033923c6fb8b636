//! Received requests, and the reasons for which a connection is rejected.

use {quick_error::quick_error, std::net::SocketAddr};

/// A request with its complete body.
#[derive(Debug)]
pub struct Request {
    /// HTTP method as received.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty if there is none.
    pub query: String,
    /// Header names in lower case, with their trimmed values.
    pub headers: Vec<(String, String)>,
    /// Complete body, with chunked framing removed.
    pub body: Vec<u8>,
    /// Address of the caller's end of the connection.
    pub caller_address: SocketAddr,
}

impl Request {
    /// Returns the value of the first header with this lower-case name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the bearer token of the `Authorization` header.
    #[must_use]
    pub fn bearer(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ")
    }
}

quick_error! {
    /// Reason why a connection or its request is rejected.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Rejection {
        /// The maximum number of connections is open.
        TooManyConnections {
            display("too many connections are open")
        }
        /// The head was not complete within its timeout.
        HeadTimeout {
            display("the request head did not arrive in time")
        }
        /// The head exceeds its size limit.
        HeadTooLarge {
            display("the request head is too large")
        }
        /// The head is malformed, or its body framing is unsupported.
        BadHead {
            display("the request head is malformed")
        }
        /// The body exceeds its size limit.
        BodyTooLarge {
            display("the request body is too large")
        }
        /// The body ended early or was not complete within its timeout.
        BodyIncomplete {
            display("the request body ended early")
        }
        /// The chunked framing of the body is malformed.
        BadBody {
            display("the request body's framing is malformed")
        }
    }
}
