//! Failures that callers are told of.

use {http::StatusCode, std::time::Duration};

/// Why a request has no answer from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The head cannot be understood.
    BadRequest,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// No route takes the request.
    NoRoute,
    /// The key is not known.
    UnknownKey,
    /// No configuration is known yet.
    NoConfiguration,
    /// The configuration was not confirmed for too long for keys to be accepted.
    Unconfirmed,
    /// The router is about to stop.
    Stopping,
    /// The router's processor does not keep up.
    Overloaded,
    /// The router holds as much as it can.
    NoMemory,
    /// The service has no server.
    NoServer,
    /// No server would answer on time.
    Busy,
    /// No server would answer on time, and the workspace has used its share.
    OverShare,
    /// Servers refused the request.
    ServersRefused,
    /// No server could be reached.
    Unreachable,
    /// The time for the request ran out before it was sent.
    TimeoutUnsent,
    /// A server failed while it may have run the request.
    ServerFailed,
    /// The time for the request ran out after it was sent.
    Timeout,
}

impl Reason {
    /// Returns a stable short name.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyTooSlow => "body_too_slow",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::NoConfiguration => "no_configuration",
            Self::Unconfirmed => "configuration_unconfirmed",
            Self::Stopping => "stopping",
            Self::Overloaded => "router_overloaded",
            Self::NoMemory => "no_memory",
            Self::NoServer => "no_server",
            Self::Busy => "busy",
            Self::OverShare => "over_share",
            Self::ServersRefused => "servers_refused",
            Self::Unreachable => "servers_unreachable",
            Self::TimeoutUnsent => "timeout_unsent",
            Self::ServerFailed => "server_failed",
            Self::Timeout => "timeout",
        }
    }

    /// Returns the status. 408, 429 and 503 say that the request has not run and never will.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverShare => StatusCode::TOO_MANY_REQUESTS,
            Self::ServerFailed => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::NoConfiguration
            | Self::Unconfirmed
            | Self::Stopping
            | Self::Overloaded
            | Self::NoMemory
            | Self::NoServer
            | Self::Busy
            | Self::ServersRefused
            | Self::Unreachable
            | Self::TimeoutUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A failure, and when it is worth coming back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Problem {
    /// What went wrong.
    pub reason: Reason,
    /// When to come back, for requests that have not run.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// A failure without a time to come back.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// A refusal with a time to come back.
    #[must_use]
    pub fn later(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }
}
