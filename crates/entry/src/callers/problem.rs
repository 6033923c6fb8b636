//! Error responses to callers, in the form `application/problem+json` of RFC 9457.

use {baobab_web::Rejection, serde::Serialize, std::time::Duration};

/// Whether a backend server executed the request. The names are part of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It was not executed and will not be.
    No,
    /// It was executed.
    Yes,
    /// It may have been executed.
    Unknown,
}

impl Executed {
    /// Returns the value in responses and audit records.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// An error response to a caller.
#[derive(Debug, Clone, Copy)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Stable code for programs; also the label of the refusal metric.
    pub code: &'static str,
    /// Description for people.
    pub title: &'static str,
    /// Whether a backend server executed the request.
    pub executed: Executed,
    /// Time after which to retry; `None` if the same request would fail again.
    pub retry_after: Option<Duration>,
}

#[derive(Debug, Serialize)]
struct ProblemBody<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    code: &'a str,
    ran: Executed,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl Problem {
    const fn not_executed(status: u16, code: &'static str, title: &'static str) -> Self {
        Self {
            status,
            code,
            title,
            executed: Executed::No,
            retry_after: None,
        }
    }

    /// The request has no bearer key, or no workspace has this key.
    pub const UNAUTHENTICATED: Self = Self::not_executed(
        401,
        "unauthenticated",
        "The bearer key is missing or not known.",
    );
    /// The workspace does not list the model or service.
    pub const FORBIDDEN: Self =
        Self::not_executed(403, "forbidden", "The workspace may not reach this.");
    /// No route has the method and path.
    pub const NOT_FOUND: Self = Self::not_executed(404, "not_found", "There is no such path.");
    /// The model is not declared.
    pub const UNKNOWN_MODEL: Self =
        Self::not_executed(404, "unknown_model", "There is no such model.");
    /// The service is not declared.
    pub const UNKNOWN_SERVICE: Self =
        Self::not_executed(404, "unknown_service", "There is no such service.");
    /// The urgency class is not declared.
    pub const UNKNOWN_CLASS: Self =
        Self::not_executed(400, "unknown_class", "There is no such urgency class.");
    /// The body does not parse as a chat completion request with at least one message.
    pub const BAD_JSON: Self = Self::not_executed(
        400,
        "bad_json",
        "The body is not a chat completion request in JSON.",
    );
    /// A non-idempotent request has no valid `Idempotency-Key`.
    pub const KEY_REQUIRED: Self = Self::not_executed(
        400,
        "idempotency_key_required",
        "A request that must not be repeated needs an Idempotency-Key of 1 to 128 characters.",
    );
    /// The `Idempotency-Key` was used with another method, path, query or body.
    pub const KEY_CONFLICT: Self = Self::not_executed(
        422,
        "idempotency_key_conflict",
        "The Idempotency-Key was used for another request.",
    );
    /// This router has not received a configuration yet.
    pub const NO_CONFIGURATION: Self = Self {
        retry_after: Some(Duration::from_secs(1)),
        ..Self::not_executed(503, "no_configuration", "No configuration is in force yet.")
    };
    /// The request was not dispatched within the queue timeout.
    pub const QUEUE_TIMEOUT: Self = Self {
        retry_after: Some(Duration::from_secs(5)),
        ..Self::not_executed(
            504,
            "queue_timeout",
            "The request waited too long for its turn.",
        )
    };
    /// The start of a non-idempotent request could not be recorded in the platform's table.
    pub const STORE_DOWN: Self = Self {
        retry_after: Some(Duration::from_secs(2)),
        ..Self::not_executed(
            503,
            "store_down",
            "The start of the request could not be recorded, so it was not run.",
        )
    };
    /// No replica of the service could be reached.
    pub const SERVICE_UNREACHABLE: Self = Self {
        retry_after: Some(Duration::from_secs(2)),
        ..Self::not_executed(503, "service_unreachable", "The service can't be reached.")
    };
    /// A non-idempotent request may have been executed.
    pub const OUTCOME_UNKNOWN: Self = Self {
        status: 502,
        code: "outcome_unknown",
        title: "The request may have run; its answer is not known.",
        executed: Executed::Unknown,
        retry_after: None,
    };
    /// A non-idempotent request was executed and its response was not stored.
    pub const ANSWER_NOT_KEPT: Self = Self {
        status: 409,
        code: "answer_not_kept",
        title: "The request ran earlier; its answer was too large to keep.",
        executed: Executed::Yes,
        retry_after: None,
    };
    /// An idempotent request got no complete response.
    pub const ANSWER_LOST: Self = Self {
        status: 502,
        code: "answer_lost",
        title: "The backend server gave no whole answer.",
        executed: Executed::Unknown,
        retry_after: Some(Duration::from_secs(1)),
    };

    /// The queue of the workspace is full.
    pub fn queue_full(retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::not_executed(
                429,
                "queue_full",
                "Too many requests of the workspace wait.",
            )
        }
    }

    /// The retry budget of this router is exhausted.
    pub fn retry_budget(executed: Executed, retry_after: Duration) -> Self {
        Self {
            executed,
            retry_after: Some(retry_after),
            ..Self::not_executed(
                503,
                "retry_budget",
                "Too many requests are being sent again.",
            )
        }
    }

    /// Returns the problem for a connection that sent no valid request.
    pub fn from_rejection(rejection: Rejection) -> Self {
        match rejection {
            Rejection::TooManyConnections => Self {
                retry_after: Some(Duration::from_secs(1)),
                ..Self::not_executed(
                    503,
                    "too_many_connections",
                    "Too many connections are open.",
                )
            },
            Rejection::HeadTimeout => Self::not_executed(
                408,
                "head_timeout",
                "The request head did not arrive in time.",
            ),
            Rejection::HeadTooLarge => {
                Self::not_executed(431, "head_too_large", "The request head is too large.")
            }
            Rejection::BadHead => {
                Self::not_executed(400, "bad_head", "The request head is malformed.")
            }
            Rejection::BodyTooLarge => {
                Self::not_executed(413, "body_too_large", "The request body is too large.")
            }
            Rejection::BodyIncomplete => {
                Self::not_executed(400, "body_incomplete", "The request body ended early.")
            }
            Rejection::BadBody => Self::not_executed(
                400,
                "bad_body",
                "The framing of the request body is malformed.",
            ),
        }
    }

    /// Returns the response body as JSON.
    pub fn to_json(self, request_id: &str) -> String {
        let body = ProblemBody {
            r#type: format!("urn:baobablug:problem:{}", self.code),
            title: self.title,
            status: self.status,
            code: self.code,
            ran: self.executed,
            request_id,
            retry_after_s: self.retry_after.map(seconds_rounded_up),
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the value of `Retry-After` in seconds, rounded up.
    pub fn retry_after_header(self) -> Option<String> {
        self.retry_after
            .map(|duration| seconds_rounded_up(duration).to_string())
    }
}

fn seconds_rounded_up(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
