//! Backend servers over HTTP. Each request has its own connection, so that none is found silent.

use {
    crate::{
        CallOutcome, CallRequest, EngineClient, EngineError, EngineOrder, Generation, OrderClient,
        Piece, ServiceClient, TokenStream, parse_event,
    },
    attohttpc::{ErrorKind, Method, RequestBuilder, Response, ResponseReader},
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        time::Duration,
    },
};

/// Time for a cancel order, which nobody waits for long.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);

/// Deadlines towards backend servers.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time to connect.
    pub connect: Duration,
    /// Time without a byte after which a connection counts as lost.
    pub silence: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            silence: Duration::from_secs(2),
        }
    }
}

/// A client of engines and services.
#[derive(Debug, Clone, Default)]
pub struct HttpBackend {
    timeouts: Timeouts,
}

impl HttpBackend {
    /// Makes a client with the given deadlines.
    #[must_use]
    pub fn new(timeouts: Timeouts) -> Self {
        Self { timeouts }
    }

    fn request(&self, method: Method, url: String) -> RequestBuilder {
        RequestBuilder::new(method, url)
            .connect_timeout(self.timeouts.connect)
            .read_timeout(self.timeouts.silence)
            .follow_redirects(false)
    }
}

impl EngineClient for HttpBackend {
    fn open(
        &self,
        address: SocketAddr,
        generation: &Generation,
    ) -> Result<Box<dyn TokenStream>, EngineError> {
        let response = self
            .request(
                Method::POST,
                format!("http://{address}/v1/chat/completions"),
            )
            .header("Content-Type", "application/json")
            .header("X-Request-Id", generation.id.as_str())
            .header("X-Resume-Offset", generation.offset.to_string())
            .bytes(&generation.body)
            .send()
            .map_err(|error| engine_error(&error))?;
        check_head(&response, &generation.id)?;
        let (_, _, reader) = response.split();
        Ok(Box::new(HttpTokens {
            reader: BufReader::new(reader),
        }))
    }

    fn cancel(&self, address: SocketAddr, id: &str) {
        let sent = self
            .request(Method::POST, format!("http://{address}/cancel/{id}"))
            .connect_timeout(CANCEL_TIMEOUT)
            .read_timeout(CANCEL_TIMEOUT)
            .send();
        // The engine ends an abandoned stream by itself when its connection breaks.
        drop(sent);
    }
}

impl ServiceClient for HttpBackend {
    fn call(&self, address: SocketAddr, request: &CallRequest) -> CallOutcome {
        let Ok(method) = Method::from_bytes(request.method.as_bytes()) else {
            return CallOutcome::NotSent;
        };
        let mut builder = self
            .request(method, format!("http://{address}{}", request.target))
            .header("Content-Type", request.content_type.as_str());
        if let Some(key) = &request.idempotency_key {
            builder = builder.header("Idempotency-Key", key.as_str());
        }
        match builder.bytes(&request.body).send() {
            Ok(response) => read_answer(response),
            Err(error) if is_unsent(&error) => CallOutcome::NotSent,
            Err(_) => CallOutcome::Lost,
        }
    }
}

impl OrderClient for HttpBackend {
    fn version(&self, address: SocketAddr) -> Option<String> {
        let response = self
            .request(Method::GET, format!("http://{address}/version"))
            .send()
            .ok()?;
        if !response.is_success() {
            return None;
        }
        response.text().ok()
    }

    fn order(&self, address: SocketAddr, order: &EngineOrder) -> bool {
        self.request(Method::POST, format!("http://{address}/orders"))
            .json(order)
            .and_then(attohttpc::RequestBuilder::send)
            .is_ok_and(|response| response.is_success())
    }
}

#[derive(Debug)]
struct HttpTokens {
    reader: BufReader<ResponseReader>,
}

impl TokenStream for HttpTokens {
    fn next(&mut self) -> Result<Piece, EngineError> {
        let mut id = None;
        let mut data = None;
        let mut line = String::new();
        loop {
            line.clear();
            let count = self
                .reader
                .read_line(&mut line)
                .map_err(|error| EngineError::Broken(error.to_string()))?;
            if count == 0 {
                return Err(EngineError::Broken("ended before its last event".into()));
            }
            let text = line.trim_end();
            if let Some(value) = text.strip_prefix("id: ") {
                id = value.parse().ok();
            } else if let Some(value) = text.strip_prefix("data: ") {
                data = Some(value.to_owned());
            } else if text.is_empty()
                && let Some(data) = data.take()
            {
                return parse_event(id, &data);
            }
        }
    }
}

fn check_head(response: &Response, id: &str) -> Result<(), EngineError> {
    let status = response.status();
    if !status.is_success() {
        return Err(EngineError::Refused(status.as_u16()));
    }
    let answered = response
        .headers()
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    if answered.is_some_and(|answered| answered != id) {
        return Err(EngineError::Mistaken);
    }
    Ok(())
}

fn read_answer(response: Response) -> CallOutcome {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    match response.bytes() {
        Ok(body) => CallOutcome::Answered {
            status,
            content_type,
            body,
        },
        Err(_) => CallOutcome::Lost,
    }
}

fn engine_error(error: &attohttpc::Error) -> EngineError {
    if is_unsent(error) {
        EngineError::Unreachable(error.to_string())
    } else {
        EngineError::Broken(error.to_string())
    }
}

/// Tells whether it is certain that no byte was sent: only the connect itself fails this way.
fn is_unsent(error: &attohttpc::Error) -> bool {
    use std::io::ErrorKind::{ConnectionRefused, HostUnreachable, NetworkUnreachable};
    match error.kind() {
        ErrorKind::Io(error) => matches!(
            error.kind(),
            ConnectionRefused | HostUnreachable | NetworkUnreachable
        ),
        _ => false,
    }
}
