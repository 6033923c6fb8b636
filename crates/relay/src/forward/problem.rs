//! Errors that the router itself returns to callers.

use {http::StatusCode, std::time::Duration};

/// Why the router responds to a request with an error of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The head or the body cannot be decoded.
    BadRequest,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// No route matches host and path.
    NoRoute,
    /// The caller's key is missing or unknown.
    UnknownKey,
    /// No configuration has been received yet.
    NoConfiguration,
    /// The configuration was last confirmed too long ago to accept keys.
    Unconfirmed,
    /// The router is stopping.
    Stopping,
    /// The router's processor is overloaded.
    Overloaded,
    /// Request bodies use all memory allotted to them.
    NoMemory,
    /// The service has no server.
    NoServer,
    /// All servers have asked for no requests for some time.
    BackingOff,
    /// The limits that the servers have named are used up.
    Limited,
    /// It is not known which version of the service began the stream.
    OriginUnknown,
    /// No server is of the version that began the stream.
    VersionGone,
    /// All servers of the version that began the stream may have started again as another one.
    Unverified,
    /// No server would respond on time.
    Busy,
    /// No server would respond on time, and the workspace has used its share.
    OverShare,
    /// The prompt has a part that crashes engines.
    Quarantined,
    /// Servers that run the request crash.
    RequestQuarantined,
    /// Servers refused to run the request.
    ServersRefused,
    /// No server could be reached.
    Unreachable,
    /// The deadline passed before the request was sent.
    TimeoutUnsent,
    /// A server failed while it may have run the request.
    ServerFailed,
    /// The deadline passed after the request was sent.
    Timeout,
}

impl Reason {
    /// Returns the stable code used in response bodies, logs and metrics.
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
            Self::BackingOff => "servers_backing_off",
            Self::Limited => "servers_limited",
            Self::OriginUnknown => "stream_origin_unknown",
            Self::VersionGone => "stream_version_gone",
            Self::Unverified => "stream_version_unverified",
            Self::Busy => "busy",
            Self::OverShare => "over_share",
            Self::Quarantined => "prompt_quarantined",
            Self::RequestQuarantined => "request_quarantined",
            Self::ServersRefused => "servers_refused",
            Self::Unreachable => "servers_unreachable",
            Self::TimeoutUnsent => "timeout_unsent",
            Self::ServerFailed => "server_failed",
            Self::Timeout => "timeout",
        }
    }

    /// Returns the HTTP status. 408, 429 and 503 guarantee that the request has not run and never
    /// will.
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
            | Self::BackingOff
            | Self::Limited
            | Self::OriginUnknown
            | Self::VersionGone
            | Self::Unverified
            | Self::Busy
            | Self::Quarantined
            | Self::RequestQuarantined
            | Self::ServersRefused
            | Self::Unreachable
            | Self::TimeoutUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// An error response of the router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Problem {
    /// Determines status and code.
    pub reason: Reason,
    /// Value of `Retry-After`, for requests that have not run.
    pub retry_after: Option<Duration>,
}

impl Problem {
    /// Creates a problem without `Retry-After`.
    #[must_use]
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }

    /// Creates a problem with `Retry-After`.
    #[must_use]
    pub fn with_retry_after(reason: Reason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }
}
