//! Simulated plain service: counts executions per idempotency key.

use {
    crate::StandinError,
    baobab_web::{Handler, Limits, Rejection, Request, ResponseWriter, Server},
    serde::{Deserialize, Serialize},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        thread,
        time::Duration,
    },
};

/// Execution counts of a service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Executions by idempotency key.
    pub executions: BTreeMap<String, u32>,
    /// Executions without a key.
    pub keyless: u64,
}

/// Returns the response body to a call. Callers compute it too, to check the response.
#[must_use]
pub fn expected_response(method: &str, target: &str, body: &[u8]) -> String {
    let digest = blake3::hash(body).to_hex();
    format!("{{\"method\":\"{method}\",\"target\":\"{target}\",\"body\":\"{digest}\"}}")
}

/// A running service stand-in.
#[derive(Debug)]
pub struct ServiceServer {
    server: Server,
    stats: Arc<Mutex<ServiceStats>>,
}

impl ServiceServer {
    /// Starts a service that responds to each call after `latency`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn spawn(address: SocketAddr, latency: Duration) -> Result<Self, StandinError> {
        let stats: Arc<Mutex<ServiceStats>> = Arc::default();
        let handler = ServiceHandler {
            stats: Arc::clone(&stats),
            latency,
        };
        let server = Server::bind(address, Limits::default(), handler)
            .map_err(|error| StandinError::Bind(address, error.to_string()))?;
        Ok(Self { server, stats })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns its execution counts.
    #[must_use]
    pub fn stats(&self) -> ServiceStats {
        lock(&self.stats).clone()
    }
}

struct ServiceHandler {
    stats: Arc<Mutex<ServiceStats>>,
    latency: Duration,
}

impl Handler for ServiceHandler {
    fn handle(&self, request: Request, writer: ResponseWriter) {
        if request.path == "/stats" {
            let json = serde_json::to_vec(&*lock(&self.stats)).unwrap_or_default();
            return send(writer, &json);
        }
        self.count_execution(&request);
        thread::sleep(self.latency);
        let target = if request.query.is_empty() {
            request.path.clone()
        } else {
            format!("{}?{}", request.path, request.query)
        };
        let response = expected_response(&request.method, &target, &request.body);
        send(writer, response.as_bytes());
    }

    fn reject(&self, _rejection: Rejection, writer: ResponseWriter) {
        send(writer, b"{}");
    }
}

impl ServiceHandler {
    fn count_execution(&self, request: &Request) {
        let mut stats = lock(&self.stats);
        match request.header("idempotency-key") {
            Some(key) => *stats.executions.entry(key.to_owned()).or_default() += 1,
            None => stats.keyless += 1,
        }
    }
}

fn lock(stats: &Mutex<ServiceStats>) -> MutexGuard<'_, ServiceStats> {
    stats.lock().unwrap_or_else(PoisonError::into_inner)
}

fn send(writer: ResponseWriter, body: &[u8]) {
    if let Err(error) = writer.send(200, &[("Content-Type", "application/json")], body) {
        log::debug!("cannot send the response: {error}");
    }
}
