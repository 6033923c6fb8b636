//! A caller: sends one request and compares the response with the expected one.

use {
    crate::{
        Event, EventKind,
        recorder::{FinishedRequest, Recorder, Refusal, RequestOutcome},
    },
    attohttpc::{Method, RequestBuilder, Response},
    baobab_engine::{StreamEvent, parse_event},
    baobab_standin::{
        service::expected_response,
        site::Site,
        text::{Generator, prompt_with_length},
    },
    serde::Deserialize,
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Characters in a prompt's shared prefix.
const PREFIX_CHARS: usize = 300;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const READ_TIMEOUT: Duration = Duration::from_secs(130);

/// A request and what is needed to send it.
pub struct Caller<'a> {
    /// Site whose keys, model and service the request uses.
    pub site: &'a Site,
    /// Request to send.
    pub event: &'a Event,
    /// Whether the request belongs to the flood; its latencies are recorded separately.
    pub is_flood: bool,
    /// Caller addresses of the routers; the balancer's choice comes first.
    pub routers: &'a [SocketAddr],
    /// Recorder of the outcome.
    pub recorder: &'a Recorder,
}

#[derive(Debug, Deserialize)]
struct ProblemBody {
    code: String,
    ran: String,
    request_id: String,
}

#[derive(Debug, Deserialize)]
struct CompletionBody {
    choices: Vec<CompletionChoice>,
}

#[derive(Debug, Deserialize)]
struct CompletionChoice {
    message: CompletionMessage,
}

#[derive(Debug, Deserialize)]
struct CompletionMessage {
    content: String,
}

/// Returns the prompt of a chat event; it is unique within the trace.
#[must_use]
pub fn prompt_for(event: &Event, prefix: u32, tokens: u64) -> String {
    let text = format!("{} notes {prefix}. ", event.workspace);
    let shared_prefix: String = text.chars().cycle().take(PREFIX_CHARS).collect();
    prompt_with_length(&format!("{shared_prefix} case {}", event.number), tokens)
}

impl Caller<'_> {
    /// Sends the request and records its outcome.
    pub fn run(&self) {
        // Without streaming, a caller can't see when its request got a slot.
        let shows_first_token = matches!(self.event.kind, EventKind::Chat { streamed: true, .. });
        let (workspace, number) = (&self.event.workspace, self.event.number);
        self.recorder
            .request_sent(workspace, number, shows_first_token);
        let (tokens, key, outcome) = match &self.event.kind {
            EventKind::Chat {
                class,
                prefix,
                tokens,
                streamed,
            } => {
                let outcome = self.chat(class, *prefix, *tokens, *streamed);
                (*tokens, None, outcome)
            }
            EventKind::Call { method, path, key } => {
                let outcome = self.call(method, path, key.as_deref());
                (0, key.clone(), outcome)
            }
        };
        let finished = FinishedRequest { key, outcome };
        self.recorder
            .request_ended(workspace, number, tokens, finished);
    }

    fn chat(&self, class: &str, prefix: u32, tokens: u64, streamed: bool) -> RequestOutcome {
        let prompt = prompt_for(self.event, prefix, tokens);
        let body = serde_json::json!({
            "model": self.site.model,
            "messages": [{"role": "user", "content": prompt}],
            "stream": streamed,
        })
        .to_string();
        let sent = Instant::now();
        let response = self.send(|address| {
            self.request(Method::POST, address, "/v1/chat/completions")
                .header("Content-Type", "application/json")
                .header("X-Urgency-Class", class)
                .bytes(body.clone().into_bytes())
                .send()
        });
        let response = match response {
            Ok(response) => response,
            Err(reason) => return RequestOutcome::Incomplete(reason),
        };
        if !response.is_success() {
            return parse_refusal(response);
        }
        let expected = Generator::new(&prompt);
        let class = if self.is_flood {
            format!("{class} (flood)")
        } else {
            class.to_owned()
        };
        if streamed {
            self.check_stream(response, &class, &expected, sent)
        } else {
            self.check_response(response, &expected)
        }
    }

    fn check_stream(
        &self,
        response: Response,
        class: &str,
        expected: &Generator,
        sent: Instant,
    ) -> RequestOutcome {
        let (_, _, reader) = response.split();
        let mut last_token = sent;
        let mut received = 0;
        for line in BufReader::new(reader).lines() {
            let line = match line {
                Ok(line) => line,
                Err(error) => return RequestOutcome::Incomplete(error.to_string()),
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            match parse_event(Some(received), data) {
                Ok(StreamEvent::End) if received == expected.tokens() => {
                    return RequestOutcome::Correct;
                }
                Ok(StreamEvent::End) => return RequestOutcome::Incorrect,
                // The final event has no token.
                Ok(StreamEvent::Token { text, .. }) if text.is_empty() => {}
                Ok(StreamEvent::Token { text, .. }) => {
                    if received >= expected.tokens() || text != expected.token(received) {
                        return RequestOutcome::Incorrect;
                    }
                    let now = Instant::now();
                    self.recorder.token_received(
                        &self.event.workspace,
                        class,
                        self.event.number,
                        received == 0,
                        now - last_token,
                    );
                    last_token = now;
                    received += 1;
                }
                Err(_) => return RequestOutcome::Incomplete(data.to_owned()),
            }
        }
        RequestOutcome::Incomplete(format!("ended after {received} tokens"))
    }

    fn check_response(&self, response: Response, expected: &Generator) -> RequestOutcome {
        let bytes = match response.bytes() {
            Ok(bytes) => bytes,
            Err(error) => return RequestOutcome::Incomplete(error.to_string()),
        };
        let Ok(body) = serde_json::from_slice::<CompletionBody>(&bytes) else {
            return RequestOutcome::Incorrect;
        };
        let content = body
            .choices
            .into_iter()
            .next()
            .map(|choice| choice.message.content);
        if content != Some(expected.response()) {
            return RequestOutcome::Incorrect;
        }
        self.recorder.response_received(
            &self.event.workspace,
            self.event.number,
            expected.tokens(),
        );
        RequestOutcome::Correct
    }

    fn call(&self, method: &str, path: &str, key: Option<&str>) -> RequestOutcome {
        let method_name = method;
        let Ok(method) = Method::from_bytes(method.as_bytes()) else {
            return RequestOutcome::Incorrect;
        };
        // Retries of a call have the same key, so they must have the same body.
        let body = format!("{{\"case\":\"{}\"}}", key.unwrap_or("lookup"));
        let response = self.send(|address| {
            let target = format!("/svc/{}{path}", self.site.service);
            let mut request = self
                .request(method.clone(), address, &target)
                .header("Content-Type", "application/json");
            if let Some(key) = key {
                request = request.header("Idempotency-Key", key);
            }
            request.bytes(body.clone().into_bytes()).send()
        });
        let response = match response {
            Ok(response) => response,
            Err(reason) => return RequestOutcome::Incomplete(reason),
        };
        if !response.is_success() {
            return parse_refusal(response);
        }
        match response.text() {
            Ok(text) if text == expected_response(method_name, path, body.as_bytes()) => {
                RequestOutcome::Correct
            }
            Ok(_) => RequestOutcome::Incorrect,
            Err(error) => RequestOutcome::Incomplete(error.to_string()),
        }
    }

    /// Sends to the first router that accepts the connection, as a balancer does.
    fn send(
        &self,
        send: impl Fn(SocketAddr) -> attohttpc::Result<Response>,
    ) -> Result<Response, String> {
        let mut reason = String::new();
        for address in self.routers {
            match send(*address) {
                Ok(response) => return Ok(response),
                Err(error) if is_connection_refused(&error) => reason = error.to_string(),
                Err(error) => return Err(error.to_string()),
            }
        }
        Err(reason)
    }

    fn request(&self, method: Method, address: SocketAddr, path: &str) -> RequestBuilder {
        let workspace = self
            .site
            .workspaces
            .iter()
            .find(|workspace| workspace.name == self.event.workspace);
        let key = workspace.map_or(String::new(), baobab_standin::site::SiteWorkspace::key);
        RequestBuilder::new(method, format!("http://{address}{path}"))
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(READ_TIMEOUT)
            .follow_redirects(false)
            .bearer_auth(key)
    }
}

fn is_connection_refused(error: &attohttpc::Error) -> bool {
    matches!(
        error.kind(),
        attohttpc::ErrorKind::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
}

fn parse_refusal(response: Response) -> RequestOutcome {
    let bytes = match response.bytes() {
        Ok(bytes) => bytes,
        Err(error) => return RequestOutcome::Incomplete(error.to_string()),
    };
    match serde_json::from_slice::<ProblemBody>(&bytes) {
        Ok(problem) => RequestOutcome::Refused(Refusal {
            code: problem.code,
            ran: problem.ran,
            request_id: problem.request_id,
        }),
        Err(_) => RequestOutcome::Incorrect,
    }
}
