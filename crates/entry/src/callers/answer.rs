//! The answer to one chat completion, streamed or whole, as far as it has come.

use {
    super::{completion, problem::Problem},
    baobab_web::{Header, Reply, Stream},
    std::io::Result,
};

const JSON: &str = "application/json";
const PROBLEM_JSON: &str = "application/problem+json";
const EVENT_STREAM: &str = "text/event-stream";

/// Sends a problem as a whole answer.
pub fn send_problem(reply: Reply, request_id: &str, problem: Problem) {
    let retry_after = problem.retry_after_header();
    let mut headers: Vec<Header<'_>> =
        vec![("Content-Type", PROBLEM_JSON), ("X-Request-Id", request_id)];
    if let Some(seconds) = &retry_after {
        headers.push(("Retry-After", seconds));
    }
    let body = problem.to_json(request_id);
    if let Err(error) = reply.send(problem.status, &headers, body.as_bytes()) {
        log::debug!(
            "a caller went away before it was told {}: {error}",
            problem.code
        );
    }
}

/// Where tokens go.
enum Target {
    /// A stream that has not begun; its head waits for the first token.
    Unsent(Reply),
    /// A stream that has begun.
    Streaming(Stream),
    /// A whole answer that is being collected.
    Collecting(Reply, String),
}

/// An answer under way.
pub struct Answer<'a> {
    request_id: &'a str,
    model: &'a str,
    target: Target,
    tokens: u64,
}

impl<'a> Answer<'a> {
    /// Starts an answer with nothing sent.
    pub fn start(request_id: &'a str, model: &'a str, streamed: bool, reply: Reply) -> Self {
        let target = if streamed {
            Target::Unsent(reply)
        } else {
            Target::Collecting(reply, String::new())
        };
        Self {
            request_id,
            model,
            target,
            tokens: 0,
        }
    }

    /// Returns the tokens taken so far.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tells whether the caller has gone.
    pub fn is_closed(&self) -> bool {
        match &self.target {
            Target::Unsent(reply) | Target::Collecting(reply, _) => reply.is_closed(),
            Target::Streaming(stream) => stream.is_closed(),
        }
    }

    /// Takes the next token; a streamed one leaves at once. Fails where the caller has gone.
    pub fn token(mut self, text: &str) -> Result<Self> {
        let event = completion::event(self.request_id, self.model, self.tokens, Some(text));
        let headers = self.stream_headers();
        self.target = match self.target {
            Target::Unsent(reply) => {
                let mut stream = reply.stream(200, &headers)?;
                stream.send(&event)?;
                Target::Streaming(stream)
            }
            Target::Streaming(mut stream) => {
                stream.send(&event)?;
                Target::Streaming(stream)
            }
            Target::Collecting(reply, mut whole) => {
                whole.push_str(text);
                Target::Collecting(reply, whole)
            }
        };
        self.tokens += 1;
        Ok(self)
    }

    /// Ends the answer as complete.
    pub fn finish(self) -> Result<()> {
        let headers = self.stream_headers();
        let stream = match self.target {
            Target::Collecting(reply, text) => {
                let body = completion::whole(self.request_id, self.model, text, self.tokens);
                let headers = [("Content-Type", JSON), ("X-Request-Id", self.request_id)];
                return reply.send(200, &headers, &body);
            }
            Target::Unsent(reply) => reply.stream(200, &headers)?,
            Target::Streaming(stream) => stream,
        };
        let mut stream = stream;
        stream.send(&completion::event(
            self.request_id,
            self.model,
            self.tokens,
            None,
        ))?;
        stream.send(b"data: [DONE]\n\n")?;
        stream.finish()
    }

    /// Ends the answer with a problem. A stream that has begun ends visibly broken: with an error
    /// event, without `[DONE]`, and without the end that HTTP wants.
    pub fn fail(self, problem: Problem) {
        match self.target {
            Target::Unsent(reply) | Target::Collecting(reply, _) => {
                send_problem(reply, self.request_id, problem);
            }
            Target::Streaming(mut stream) => {
                let json = problem.to_json(self.request_id);
                let event = format!("event: error\ndata: {json}\n\n");
                if let Err(error) = stream.send(event.as_bytes()) {
                    log::debug!("a caller went away during its answer: {error}");
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
