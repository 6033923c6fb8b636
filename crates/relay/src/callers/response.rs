//! Responses to callers.

use {
    super::{activity::BusyGuard, in_flight::InFlight},
    crate::forward::{Problem, StreamBody},
    bytes::Bytes,
    http::{
        HeaderValue, Response, Version,
        header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER},
        response,
    },
    http_body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
};

/// Content type of the errors that the router itself returns.
const PROBLEM_TYPE: &str = "application/problem+json";

/// The body of a response to a caller.
pub struct ResponseBody {
    content: Content,
    _guards: Option<(BusyGuard, InFlight)>,
}

enum Content {
    Buffered(Option<Bytes>),
    Stream(Box<StreamBody>),
}

impl ResponseBody {
    /// Creates a body from complete content.
    #[must_use]
    pub fn buffered(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            content: Content::Buffered((!bytes.is_empty()).then_some(bytes)),
            _guards: None,
        }
    }

    /// Creates a body that is forwarded as it arrives.
    #[must_use]
    pub fn stream(stream: StreamBody) -> Self {
        Self {
            content: Content::Stream(Box::new(stream)),
            _guards: None,
        }
    }

    /// Keeps the connection marked as busy, and the request counted as in flight, until the body
    /// has ended.
    #[must_use]
    pub fn with_guards(self, busy: BusyGuard, in_flight: InFlight) -> Self {
        Self {
            _guards: Some((busy, in_flight)),
            ..self
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = crate::forward::BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match &mut self.content {
            Content::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Content::Stream(stream) => Pin::new(stream.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Buffered(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Content::Buffered(None) => SizeHint::with_exact(0),
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// Creates the error response for a problem.
#[must_use]
pub fn problem_response(problem: &Problem) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::buffered(problem_text(problem)));
    *response.status_mut() = problem.reason.status();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(delay) = problem.retry_after
        && let Ok(value) = HeaderValue::from_str(&seconds(delay))
    {
        headers.insert(RETRY_AFTER, value);
    }
    response
}

/// Returns the bytes of the error response for a problem, the last one on its connection.
#[must_use]
pub fn last_problem_response(problem: &Problem) -> Vec<u8> {
    let status = problem.reason.status();
    let text = problem_text(problem);
    let length = text.len();
    let retry_after = problem.retry_after.map_or_else(String::new, |delay| {
        format!("{RETRY_AFTER}: {}\r\n", seconds(delay))
    });
    format!(
        "HTTP/1.1 {status}\r\n{CONTENT_TYPE}: {PROBLEM_TYPE}\r\n{retry_after}{CONTENT_LENGTH}: {length}\r\n{CONNECTION}: close\r\n\r\n{text}"
    )
    .into_bytes()
}

fn problem_text(problem: &Problem) -> String {
    format!("{{\"code\":\"{}\"}}", problem.reason.code())
}

fn seconds(delay: Duration) -> String {
    format!("{:.3}", delay.as_secs_f64())
}

/// Creates the response from a server's head. Its version is that of the connection to the caller: a server
/// of HTTP/1.0 would end it without the last chunk that shows that it is complete.
#[must_use]
pub fn server_response(mut head: response::Parts, body: ResponseBody) -> Response<ResponseBody> {
    head.version = Version::HTTP_11;
    Response::from_parts(head, body)
}

/// Serving cannot fail; failures become error responses.
pub type ServiceResult = Result<Response<ResponseBody>, Infallible>;
