//! The response to one chat completion, streamed or buffered.

use {
    super::{completion, problem::Problem},
    baobab_web::{Header, ResponseWriter, Stream},
    std::io::Result,
};

const JSON: &str = "application/json";
const PROBLEM_JSON: &str = "application/problem+json";
const EVENT_STREAM: &str = "text/event-stream";

/// Sends a problem as a complete response.
pub fn send_problem(writer: ResponseWriter, request_id: &str, problem: Problem) {
    let retry_after = problem.retry_after_header();
    let mut headers: Vec<Header<'_>> =
        vec![("Content-Type", PROBLEM_JSON), ("X-Request-Id", request_id)];
    if let Some(seconds) = &retry_after {
        headers.push(("Retry-After", seconds));
    }
    let body = problem.to_json(request_id);
    if let Err(error) = writer.send(problem.status, &headers, body.as_bytes()) {
        log::debug!(
            "caller disconnected before problem {} was sent: {error}",
            problem.code
        );
    }
}

/// Destination of generated tokens.
enum ResponseState {
    /// A streamed response whose head has not been sent; it is sent with the first token.
    Unsent(ResponseWriter),
    /// A streamed response whose head has been sent.
    Streaming(Stream),
    /// A response that is sent as a whole: the text collected so far.
    Collecting(ResponseWriter, String),
}

/// A response in flight.
pub struct ChatResponse<'a> {
    request_id: &'a str,
    model: &'a str,
    state: ResponseState,
    tokens: u64,
}

impl<'a> ChatResponse<'a> {
    /// Creates a response of which nothing has been sent.
    pub fn new(
        request_id: &'a str,
        model: &'a str,
        streamed: bool,
        writer: ResponseWriter,
    ) -> Self {
        let state = if streamed {
            ResponseState::Unsent(writer)
        } else {
            ResponseState::Collecting(writer, String::new())
        };
        Self {
            request_id,
            model,
            state,
            tokens: 0,
        }
    }

    /// Returns the number of tokens added so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns whether the caller has closed the connection.
    pub fn is_closed(&self) -> bool {
        match &self.state {
            ResponseState::Unsent(writer) | ResponseState::Collecting(writer, _) => {
                writer.is_closed()
            }
            ResponseState::Streaming(stream) => stream.is_closed(),
        }
    }

    /// Adds the next token, and sends it at once if the response is streamed. Fails if the caller
    /// has disconnected.
    pub fn push_token(mut self, text: &str) -> Result<Self> {
        let event = completion::chunk_event(self.request_id, self.model, self.tokens, Some(text));
        let headers = self.stream_headers();
        self.state = match self.state {
            ResponseState::Unsent(writer) => {
                let mut stream = writer.stream(200, &headers)?;
                stream.send(&event)?;
                ResponseState::Streaming(stream)
            }
            ResponseState::Streaming(mut stream) => {
                stream.send(&event)?;
                ResponseState::Streaming(stream)
            }
            ResponseState::Collecting(writer, mut collected) => {
                collected.push_str(text);
                ResponseState::Collecting(writer, collected)
            }
        };
        self.tokens += 1;
        Ok(self)
    }

    /// Ends the response as complete. Fails if the caller has disconnected.
    pub fn finish(self) -> Result<()> {
        let headers = self.stream_headers();
        let stream = match self.state {
            ResponseState::Collecting(writer, text) => {
                let body =
                    completion::completion_json(self.request_id, self.model, text, self.tokens);
                let headers = [("Content-Type", JSON), ("X-Request-Id", self.request_id)];
                return writer.send(200, &headers, &body);
            }
            ResponseState::Unsent(writer) => writer.stream(200, &headers)?,
            ResponseState::Streaming(stream) => stream,
        };
        let mut stream = stream;
        stream.send(&completion::chunk_event(
            self.request_id,
            self.model,
            self.tokens,
            None,
        ))?;
        stream.send(b"data: [DONE]\n\n")?;
        stream.finish()
    }

    /// Ends the response with a problem. A stream that has begun ends with an error event, without
    /// `[DONE]` and without the last HTTP chunk, so that the caller sees it is incomplete.
    pub fn fail(self, problem: Problem) {
        match self.state {
            ResponseState::Unsent(writer) | ResponseState::Collecting(writer, _) => {
                send_problem(writer, self.request_id, problem);
            }
            ResponseState::Streaming(mut stream) => {
                let json = problem.to_json(self.request_id);
                let event = format!("event: error\ndata: {json}\n\n");
                if let Err(error) = stream.send(event.as_bytes()) {
                    log::debug!("caller disconnected during its response: {error}");
                }
            }
        }
    }

    fn stream_headers(&self) -> [Header<'a>; 3] {
        [
            ("Content-Type", EVENT_STREAM),
            ("Cache-Control", "no-cache"),
            ("X-Request-Id", self.request_id),
        ]
    }
}
