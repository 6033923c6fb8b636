//! HTTP interface of a simulated engine.

use {
    super::{Batch, EngineConf, Order, OrderOutcome, Orders},
    crate::{StandinError, text::Generator},
    baobab_web::{Handler, Limits, Rejection, Request, ResponseWriter, Server},
    serde::Deserialize,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::{Duration, Instant},
    },
};

/// A running engine stand-in.
#[derive(Debug)]
pub struct EngineServer {
    server: Server,
    batch: Arc<Batch>,
    orders: Arc<Mutex<Orders>>,
}

impl EngineServer {
    /// Starts an engine; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn spawn(conf: EngineConf) -> Result<Self, StandinError> {
        let address = conf.address;
        let orders = Arc::new(Mutex::new(Orders::start(conf.checks_fencing)));
        let batch = Arc::new(Batch::start(conf));
        let handler = EngineHandler {
            batch: Arc::clone(&batch),
            orders: Arc::clone(&orders),
        };
        let server = Server::bind(address, Limits::default(), handler)
            .map_err(|error| StandinError::Bind(address, error.to_string()))?;
        Ok(Self {
            server,
            batch,
            orders,
        })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the applied orders, oldest first.
    #[must_use]
    pub fn applied_orders(&self) -> Vec<Order> {
        let orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        orders.applied().to_vec()
    }

    /// Returns the batch of its streams.
    #[must_use]
    pub fn batch(&self) -> &Batch {
        &self.batch
    }
}

struct EngineHandler {
    batch: Arc<Batch>,
    orders: Arc<Mutex<Orders>>,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    messages: Vec<Message>,
}

#[derive(Debug, Deserialize)]
struct Message {
    content: String,
}

impl Handler for EngineHandler {
    fn handle(&self, request: Request, writer: ResponseWriter) {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/chat/completions") => self.generate(&request, writer),
            ("POST", "/orders") => self.apply_order(&request, writer),
            ("GET", "/stats") => {
                let json = serde_json::to_vec(&self.batch.stats()).unwrap_or_default();
                send(writer, 200, &json);
            }
            ("GET", "/version") => {
                let orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
                send(writer, 200, orders.version().as_bytes());
            }
            ("GET", "/ran") => {
                let json = serde_json::to_vec(&self.batch.started_ids()).unwrap_or_default();
                send(writer, 200, &json);
            }
            ("GET", "/load") => {
                let load = self.batch.reported_load().to_string();
                send(writer, 200, load.as_bytes());
            }
            ("POST", path) if path.starts_with("/cancel/") => {
                self.batch.cancel(path.trim_start_matches("/cancel/"));
                send(writer, 200, b"{}");
            }
            ("POST", path) if path.starts_with("/slowdown/") => {
                let factor = path.trim_start_matches("/slowdown/").parse().unwrap_or(1.0);
                self.batch.set_slowdown(factor);
                send(writer, 200, b"{}");
            }
            _ => send(writer, 404, b"{}"),
        }
    }

    fn reject(&self, _rejection: Rejection, writer: ResponseWriter) {
        send(writer, 400, b"{}");
    }
}

impl EngineHandler {
    fn apply_order(&self, request: &Request, writer: ResponseWriter) {
        let Ok(order) = serde_json::from_slice::<Order>(&request.body) else {
            return send(writer, 400, b"{}");
        };
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        match orders.apply(order) {
            OrderOutcome::Applied => send(writer, 200, b"{}"),
            OrderOutcome::StaleFencing => send(writer, 409, b"{}"),
        }
    }

    fn generate(&self, request: &Request, writer: ResponseWriter) {
        let Ok(chat) = serde_json::from_slice::<ChatRequest>(&request.body) else {
            return send(writer, 400, b"{}");
        };
        let prompt: String = chat
            .messages
            .iter()
            .map(|message| message.content.as_str())
            .collect();
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let offset = request
            .header("x-resume-offset")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let prefill = self.batch.admit(&id, &prompt, offset);
        let complete = self.stream(&chat.model, &prompt, &id, offset, prefill, writer);
        self.batch.remove(&id, complete);
    }

    fn stream(
        &self,
        model: &str,
        prompt: &str,
        id: &str,
        offset: u64,
        prefill: Duration,
        writer: ResponseWriter,
    ) -> bool {
        let generator = Generator::new(prompt);
        let headers = [("Content-Type", "text/event-stream"), ("X-Request-Id", id)];
        let Ok(mut stream) = writer.stream(200, &headers) else {
            return false;
        };
        let mut due = Instant::now() + prefill;
        for index in offset..generator.tokens() {
            due += self.batch.count_token();
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if self.batch.is_cancelled(id) {
                return false;
            }
            let event = format_event(id, model, index, generator.token(index));
            if stream.send(event.as_bytes()).is_err() {
                return false;
            }
        }
        stream.send(b"data: [DONE]\n\n").is_ok() && stream.finish().is_ok()
    }
}

fn format_event(id: &str, model: &str, index: u64, text: &str) -> String {
    let json = serde_json::json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    });
    format!("id: {index}\ndata: {json}\n\n")
}

fn send(writer: ResponseWriter, status: u16, body: &[u8]) {
    let headers = [("Content-Type", "application/json")];
    if let Err(error) = writer.send(status, &headers, body) {
        log::debug!("cannot send the response: {error}");
    }
}
