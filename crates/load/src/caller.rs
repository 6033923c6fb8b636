//! One caller: sends a request and checks the answer byte by byte.

use {
    crate::{
        Event, EventKind,
        recorder::{Ended, Ending, Recorder, Refusal},
    },
    attohttpc::{Method, RequestBuilder, Response},
    baobab_engine::{StreamEvent, parse_event},
    baobab_standin::{
        service::expected_answer,
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

/// Characters of a prompt's common start.
const PREFIX_CHARS: usize = 300;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const READ_TIMEOUT: Duration = Duration::from_secs(130);

/// A caller's request.
pub struct Caller<'a> {
    /// The site.
    pub site: &'a Site,
    /// The request.
    pub event: &'a Event,
    /// Whether the request belongs to the flood; its times are kept apart.
    pub is_flood: bool,
    /// The routers, the balancer's choice first.
    pub routers: &'a [SocketAddr],
    /// Where to note what happens.
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

/// Returns the prompt of a chat event, unique within its trace.
#[must_use]
pub fn prompt_of(event: &Event, prefix: u32, tokens: u64) -> String {
    let start = format!("{} notes {prefix}. ", event.workspace);
    let common: String = start.chars().cycle().take(PREFIX_CHARS).collect();
    prompt_with_length(&format!("{common} case {}", event.number), tokens)
}

impl Caller<'_> {
    /// Sends the request and notes what came of it.
    pub fn run(&self) {
        // A caller can't tell when the slot of a whole answer was given.
        let shows_start = matches!(self.event.kind, EventKind::Chat { streamed: true, .. });
        let (workspace, number) = (&self.event.workspace, self.event.number);
        self.recorder.sent(workspace, number, shows_start);
        let (tokens, key, ending) = match &self.event.kind {
            EventKind::Chat {
                class,
                prefix,
                tokens,
                streamed,
            } => {
                let ending = self.chat(class, *prefix, *tokens, *streamed);
                (*tokens, None, ending)
            }
            EventKind::Call { method, path, key } => {
                let ending = self.call(method, path, key.as_deref());
                (0, key.clone(), ending)
            }
        };
        let ended = Ended { key, ending };
        self.recorder.ended(workspace, number, tokens, ended);
    }

    fn chat(&self, class: &str, prefix: u32, tokens: u64, streamed: bool) -> Ending {
        let prompt = prompt_of(self.event, prefix, tokens);
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
            Err(reason) => return Ending::Incomplete(reason),
        };
        if !response.is_success() {
            return refusal(response);
        }
        let expected = Generator::new(&prompt);
        let class = if self.is_flood {
            format!("{class} (flood)")
        } else {
            class.to_owned()
        };
        if streamed {
            self.read_stream(response, &class, &expected, sent)
        } else {
            self.read_whole(response, &expected)
        }
    }

    fn read_stream(
        &self,
        response: Response,
        class: &str,
        expected: &Generator,
        sent: Instant,
    ) -> Ending {
        let (_, _, reader) = response.split();
        let mut last = sent;
        let mut received = 0;
        for line in BufReader::new(reader).lines() {
            let line = match line {
                Ok(line) => line,
                Err(error) => return Ending::Incomplete(error.to_string()),
            };
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            match parse_event(Some(received), data) {
                Ok(StreamEvent::End) if received == expected.tokens() => return Ending::Right,
                Ok(StreamEvent::End) => return Ending::Wrong,
                // The last event carries no token.
                Ok(StreamEvent::Token { text, .. }) if text.is_empty() => {}
                Ok(StreamEvent::Token { text, .. }) => {
                    if received >= expected.tokens() || text != expected.token(received) {
                        return Ending::Wrong;
                    }
                    let now = Instant::now();
                    self.recorder.token(
                        &self.event.workspace,
                        class,
                        self.event.number,
                        received == 0,
                        now - last,
                    );
                    last = now;
                    received += 1;
                }
                Err(_) => return Ending::Incomplete(data.to_owned()),
            }
        }
        Ending::Incomplete(format!("ended after {received} tokens"))
    }

    fn read_whole(&self, response: Response, expected: &Generator) -> Ending {
        let bytes = match response.bytes() {
            Ok(bytes) => bytes,
            Err(error) => return Ending::Incomplete(error.to_string()),
        };
        let Ok(body) = serde_json::from_slice::<CompletionBody>(&bytes) else {
            return Ending::Wrong;
        };
        let content = body
            .choices
            .into_iter()
            .next()
            .map(|choice| choice.message.content);
        if content != Some(expected.answer()) {
            return Ending::Wrong;
        }
        self.recorder
            .whole_answer(&self.event.workspace, self.event.number, expected.tokens());
        Ending::Right
    }

    fn call(&self, method: &str, path: &str, key: Option<&str>) -> Ending {
        let method_name = method;
        let Ok(method) = Method::from_bytes(method.as_bytes()) else {
            return Ending::Wrong;
        };
        // Repeats of one call carry the same key and so must carry the same body.
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
            Err(reason) => return Ending::Incomplete(reason),
        };
        if !response.is_success() {
            return refusal(response);
        }
        match response.text() {
            Ok(text) if text == expected_answer(method_name, path, body.as_bytes()) => {
                Ending::Right
            }
            Ok(_) => Ending::Wrong,
            Err(error) => Ending::Incomplete(error.to_string()),
        }
    }

    /// Sends to the first router that takes the connection, as a balancer does.
    fn send(
        &self,
        send: impl Fn(SocketAddr) -> attohttpc::Result<Response>,
    ) -> Result<Response, String> {
        let mut reason = String::new();
        for address in self.routers {
            match send(*address) {
                Ok(response) => return Ok(response),
                Err(error) if is_refused(&error) => reason = error.to_string(),
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

fn is_refused(error: &attohttpc::Error) -> bool {
    matches!(
        error.kind(),
        attohttpc::ErrorKind::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused
    )
}

fn refusal(response: Response) -> Ending {
    let bytes = match response.bytes() {
        Ok(bytes) => bytes,
        Err(error) => return Ending::Incomplete(error.to_string()),
    };
    match serde_json::from_slice::<ProblemBody>(&bytes) {
        Ok(problem) => Ending::Refused(Refusal {
            code: problem.code,
            ran: problem.ran,
            request_id: problem.request_id,
        }),
        Err(_) => Ending::Wrong,
    }
}
