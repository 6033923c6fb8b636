//! A received request, or the reason why none was received.

use {quick_error::quick_error, std::net::SocketAddr};

/// A whole request, its body read.
#[derive(Debug)]
pub struct Request {
    /// Method in upper case.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark, empty where there is none.
    pub query: String,
    /// Header names in lower case and their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Address of the other end.
    pub peer: SocketAddr,
}

impl Request {
    /// Returns the value of a header, by its name in lower case.
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
    /// Why a connection gave no request.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Rejection {
        /// Every connection is in use.
        TooManyConnections {
            display("too many connections are open")
        }
        /// The head didn't arrive in time.
        HeadTimeout {
            display("the request head did not arrive in time")
        }
        /// The head is larger than allowed.
        HeadTooLarge {
            display("the request head is too large")
        }
        /// The head is not HTTP/1.1.
        BadHead {
            display("the request head is malformed")
        }
        /// The body is larger than allowed.
        BodyTooLarge {
            display("the request body is too large")
        }
        /// The body ended early or didn't arrive in time.
        BodyIncomplete {
            display("the request body ended early")
        }
        /// The body's framing is malformed.
        BadBody {
            display("the request body's framing is malformed")
        }
    }
}
