//! Answers to callers.

use {
    super::{gauge::Busy, under_way::UnderWay},
    crate::forward::{Problem, StreamBody},
    bytes::Bytes,
    http::{
        HeaderValue, Response,
        header::{CONTENT_TYPE, RETRY_AFTER},
        response,
    },
    http_body::{Body, Frame, SizeHint},
    std::{
        convert::Infallible,
        pin::Pin,
        task::{Context, Poll},
    },
};

/// The body of an answer.
pub struct AnswerBody {
    content: Content,
    _guards: Option<(Busy, UnderWay)>,
}

enum Content {
    Whole(Option<Bytes>),
    Stream(Box<StreamBody>),
}

impl AnswerBody {
    /// A body that is complete.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self {
            content: Content::Whole((!bytes.is_empty()).then_some(bytes)),
            _guards: None,
        }
    }

    /// A body that is passed on as it comes.
    #[must_use]
    pub fn stream(stream: StreamBody) -> Self {
        Self {
            content: Content::Stream(Box::new(stream)),
            _guards: None,
        }
    }

    /// Keeps the connection marked as busy, and the request as under way, until the body has ended.
    #[must_use]
    pub fn hold(self, busy: Busy, under_way: UnderWay) -> Self {
        Self {
            _guards: Some((busy, under_way)),
            ..self
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = crate::forward::BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Stream(stream) => Pin::new(stream.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Content::Whole(None) => SizeHint::with_exact(0),
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// Makes the answer that tells a caller of a failure.
#[must_use]
pub fn problem_answer(problem: &Problem) -> Response<AnswerBody> {
    let code = problem.reason.code();
    let mut answer = Response::new(AnswerBody::whole(format!("{{\"code\":\"{code}\"}}")));
    *answer.status_mut() = problem.reason.status();
    let headers = answer.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(pause) = problem.retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", pause.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    answer
}

/// Makes an answer from a server's head.
#[must_use]
pub fn server_answer(head: response::Parts, body: AnswerBody) -> Response<AnswerBody> {
    Response::from_parts(head, body)
}

/// An answer cannot fail; failures are answers.
pub type ServiceResult = Result<Response<AnswerBody>, Infallible>;
