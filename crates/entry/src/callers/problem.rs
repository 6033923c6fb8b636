//! Errors as callers see them: `application/problem+json`.

use {baobab_web::Rejection, serde::Serialize, std::time::Duration};

/// Whether the request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It did not run and will not.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Returns the word that callers see.
    pub fn word(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// A problem that a caller is told.
#[derive(Debug, Clone, Copy)]
pub struct Problem {
    /// Status.
    pub status: u16,
    /// Stable code.
    pub code: &'static str,
    /// For the person who reads it.
    pub title: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back; `None` where the same request would fail again.
    pub retry_after: Option<Duration>,
}

#[derive(Debug, Serialize)]
struct Body<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    code: &'a str,
    ran: Ran,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl Problem {
    const fn refused(status: u16, code: &'static str, title: &'static str) -> Self {
        Self {
            status,
            code,
            title,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// The bearer key is missing or not known.
    pub const UNAUTHENTICATED: Self = Self::refused(
        401,
        "unauthenticated",
        "The bearer key is missing or not known.",
    );
    /// The workspace may not reach the model or service.
    pub const FORBIDDEN: Self =
        Self::refused(403, "forbidden", "The workspace may not reach this.");
    /// There is no such path.
    pub const NOT_FOUND: Self = Self::refused(404, "not_found", "There is no such path.");
    /// There is no such model.
    pub const UNKNOWN_MODEL: Self = Self::refused(404, "unknown_model", "There is no such model.");
    /// There is no such service.
    pub const UNKNOWN_SERVICE: Self =
        Self::refused(404, "unknown_service", "There is no such service.");
    /// There is no such urgency class.
    pub const UNKNOWN_CLASS: Self =
        Self::refused(400, "unknown_class", "There is no such urgency class.");
    /// The body is not the JSON of a chat completion request.
    pub const BAD_JSON: Self = Self::refused(
        400,
        "bad_json",
        "The body is not a chat completion request in JSON.",
    );
    /// A non-idempotent request lacks its key.
    pub const KEY_REQUIRED: Self = Self::refused(
        400,
        "idempotency_key_required",
        "A request that must not be repeated needs an Idempotency-Key of 1 to 128 characters.",
    );
    /// The key was used for another request.
    pub const KEY_CONFLICT: Self = Self::refused(
        422,
        "idempotency_key_conflict",
        "The Idempotency-Key was used for another request.",
    );
    /// No configuration is in force yet.
    pub const NO_CONFIGURATION: Self = Self {
        retry_after: Some(Duration::from_secs(1)),
        ..Self::refused(503, "no_configuration", "No configuration is in force yet.")
    };
    /// The request waited too long for its turn.
    pub const QUEUE_TIMEOUT: Self = Self {
        retry_after: Some(Duration::from_secs(5)),
        ..Self::refused(
            504,
            "queue_timeout",
            "The request waited too long for its turn.",
        )
    };
    /// The platform could not record the start of a non-idempotent request.
    pub const STORE_DOWN: Self = Self {
        retry_after: Some(Duration::from_secs(2)),
        ..Self::refused(
            503,
            "store_down",
            "The start of the request could not be recorded, so it was not run.",
        )
    };
    /// The service can't be reached.
    pub const SERVICE_UNREACHABLE: Self = Self {
        retry_after: Some(Duration::from_secs(2)),
        ..Self::refused(503, "service_unreachable", "The service can't be reached.")
    };
    /// A non-idempotent request may have run.
    pub const OUTCOME_UNKNOWN: Self = Self {
        status: 502,
        code: "outcome_unknown",
        title: "The request may have run; its answer is not known.",
        ran: Ran::Unknown,
        retry_after: None,
    };
    /// A non-idempotent request ran and its answer was not kept.
    pub const ANSWER_NOT_KEPT: Self = Self {
        status: 409,
        code: "answer_not_kept",
        title: "The request ran earlier; its answer was too large to keep.",
        ran: Ran::Yes,
        retry_after: None,
    };
    /// An idempotent call got no whole answer.
    pub const ANSWER_LOST: Self = Self {
        status: 502,
        code: "answer_lost",
        title: "The backend server gave no whole answer.",
        ran: Ran::Unknown,
        retry_after: Some(Duration::from_secs(1)),
    };

    /// Too many requests of the workspace wait.
    pub fn queue_full(retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::refused(
                429,
                "queue_full",
                "Too many requests of the workspace wait.",
            )
        }
    }

    /// Too many requests are being sent again.
    pub fn retry_budget(ran: Ran, retry_after: Duration) -> Self {
        Self {
            ran,
            retry_after: Some(retry_after),
            ..Self::refused(
                503,
                "retry_budget",
                "Too many requests are being sent again.",
            )
        }
    }

    /// What a connection that gave no request is told.
    pub fn of_rejection(rejection: Rejection) -> Self {
        match rejection {
            Rejection::TooManyConnections => Self {
                retry_after: Some(Duration::from_secs(1)),
                ..Self::refused(
                    503,
                    "too_many_connections",
                    "Too many connections are open.",
                )
            },
            Rejection::HeadTimeout => Self::refused(
                408,
                "head_timeout",
                "The request head did not arrive in time.",
            ),
            Rejection::HeadTooLarge => {
                Self::refused(431, "head_too_large", "The request head is too large.")
            }
            Rejection::BadHead => Self::refused(400, "bad_head", "The request head is malformed."),
            Rejection::BodyTooLarge => {
                Self::refused(413, "body_too_large", "The request body is too large.")
            }
            Rejection::BodyIncomplete => {
                Self::refused(400, "body_incomplete", "The request body ended early.")
            }
            Rejection::BadBody => Self::refused(
                400,
                "bad_body",
                "The framing of the request body is malformed.",
            ),
        }
    }

    /// Returns the problem's JSON.
    pub fn to_json(self, request_id: &str) -> String {
        let body = Body {
            r#type: format!("urn:baobablug:problem:{}", self.code),
            title: self.title,
            status: self.status,
            code: self.code,
            ran: self.ran,
            request_id,
            retry_after_s: self.retry_after.map(whole_seconds),
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Returns the value of `Retry-After`.
    pub fn retry_after_header(self) -> Option<String> {
        self.retry_after.map(|time| whole_seconds(time).to_string())
    }
}

fn whole_seconds(time: Duration) -> u64 {
    time.as_secs() + u64::from(time.subsec_nanos() > 0)
}
