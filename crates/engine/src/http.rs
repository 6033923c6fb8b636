//! HTTP client of backend servers. Each request opens a connection, so none is found dead on reuse.

use {
    crate::{
        CallOutcome, CallRequest, EngineClient, EngineError, EngineOrder, GenerationRequest,
        OrderClient, ServiceClient, StreamEvent, TokenStream, parse_event,
    },
    attohttpc::{ErrorKind, Method, RequestBuilder, Response, ResponseReader},
    baobab_body::read_whole,
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        time::Duration,
    },
};

/// Connect and read timeout of a cancel request, which is best effort.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeouts for backend servers.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Maximum time to connect.
    pub connect: Duration,
    /// Maximum time without a received byte before the connection counts as lost.
    pub idle: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            idle: Duration::from_secs(2),
        }
    }
}

/// HTTP client of engines and services.
#[derive(Debug, Clone, Default)]
pub struct HttpBackendClient {
    timeouts: Timeouts,
}

impl HttpBackendClient {
    /// Creates a client with the given timeouts.
    #[must_use]
    pub fn new(timeouts: Timeouts) -> Self {
        Self { timeouts }
    }

    fn request(&self, method: Method, url: String) -> RequestBuilder {
        RequestBuilder::new(method, url)
            .connect_timeout(self.timeouts.connect)
            .read_timeout(self.timeouts.idle)
            .follow_redirects(false)
    }
}

impl EngineClient for HttpBackendClient {
    fn open(
        &self,
        address: SocketAddr,
        generation: &GenerationRequest,
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
            .map_err(|error| to_engine_error(&error))?;
        check_response_head(&response, &generation.id)?;
        let (_, _, reader) = response.split();
        Ok(Box::new(HttpTokenStream {
            reader: BufReader::new(reader),
        }))
    }

    fn cancel(&self, address: SocketAddr, id: &str) {
        let result = self
            .request(Method::POST, format!("http://{address}/cancel/{id}"))
            .connect_timeout(CANCEL_TIMEOUT)
            .read_timeout(CANCEL_TIMEOUT)
            .send();
        // Failures are ignored: the engine itself ends a stream whose connection breaks.
        drop(result);
    }
}

impl ServiceClient for HttpBackendClient {
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
            Ok(response) => read_response(response, request.method == "HEAD"),
            Err(error) if is_unsent(&error) => CallOutcome::NotSent,
            Err(_) => CallOutcome::Lost,
        }
    }
}

impl OrderClient for HttpBackendClient {
    fn version(&self, address: SocketAddr) -> Option<String> {
        let response = self
            .request(Method::GET, format!("http://{address}/version"))
            .send()
            .ok()?;
        if !response.is_success() {
            return None;
        }
        String::from_utf8(read_whole(response).ok()?).ok()
    }

    fn order(&self, address: SocketAddr, order: &EngineOrder) -> bool {
        self.request(Method::POST, format!("http://{address}/orders"))
            .json(order)
            .and_then(attohttpc::RequestBuilder::send)
            .is_ok_and(|response| response.is_success())
    }
}

#[derive(Debug)]
struct HttpTokenStream {
    reader: BufReader<ResponseReader>,
}

impl TokenStream for HttpTokenStream {
    fn next(&mut self) -> Result<StreamEvent, EngineError> {
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
                return Err(EngineError::Broken(
                    "the stream ended before its final event".into(),
                ));
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

fn check_response_head(response: &Response, id: &str) -> Result<(), EngineError> {
    let status = response.status();
    if !status.is_success() {
        return Err(EngineError::Refused(status.as_u16()));
    }
    let echoed_id = response
        .headers()
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    if echoed_id.is_some_and(|echoed_id| echoed_id != id) {
        return Err(EngineError::WrongRequest);
    }
    Ok(())
}

fn read_response(response: Response, is_head: bool) -> CallOutcome {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let body = if is_head {
        Ok(Vec::new())
    } else {
        read_whole(response)
    };
    match body {
        Ok(body) => CallOutcome::Responded {
            status,
            content_type,
            body,
        },
        Err(_) => CallOutcome::Lost,
    }
}

fn to_engine_error(error: &attohttpc::Error) -> EngineError {
    if is_unsent(error) {
        EngineError::Unreachable(error.to_string())
    } else {
        EngineError::Broken(error.to_string())
    }
}

/// Whether certainly no byte was sent: these errors occur only while connecting.
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
