//! Simulated platform: table, object store and host list over HTTP, with injectable faults.

use {
    crate::StandinError,
    baobab_store::{
        Call, Faults, HostEntry, HostList, MemoryStore, ObjectStore, StoreError, Table,
    },
    rouille::{Request, Response, Server},
    serde::Serialize,
    std::{io::Read, net::SocketAddr, sync::Arc, thread, time::Duration},
};

/// Number of threads that serve calls.
const THREADS: usize = 32;
/// Time that a call with a lost reply is held open.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(2);

/// A running platform stand-in.
pub struct PlatformServer {
    address: SocketAddr,
    state: Arc<MemoryStore>,
}

impl PlatformServer {
    /// Starts the platform on an address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn spawn(address: SocketAddr) -> Result<Self, StandinError> {
        let state: Arc<MemoryStore> = Arc::default();
        let handler_state = Arc::clone(&state);
        let server = Server::new(address, move |request| respond(&handler_state, request))
            .map_err(|error| StandinError::Bind(address, error.to_string()))?
            .pool_size(THREADS);
        let address = server.server_addr();
        thread::spawn(move || server.run());
        Ok(Self { address, state })
    }

    /// Returns the address that it listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the store behind it.
    #[must_use]
    pub fn state(&self) -> &Arc<MemoryStore> {
        &self.state
    }
}

fn respond(state: &MemoryStore, request: &Request) -> Response {
    let url = request.url();
    let body = read_body(request);
    match (request.method(), url.as_str()) {
        ("POST", "/table") => handle_table(state, &body),
        ("GET", "/hosts") => json_response(state.hosts()),
        ("POST", "/admin/hosts") => match serde_json::from_slice::<Vec<HostEntry>>(&body) {
            Ok(hosts) => {
                state.set_hosts(hosts);
                Response::json(&())
            }
            Err(_) => Response::empty_400(),
        },
        ("POST", "/admin/faults") => match serde_json::from_slice::<Faults>(&body) {
            Ok(faults) => {
                state.set_faults(faults);
                Response::json(&())
            }
            Err(_) => Response::empty_400(),
        },
        ("GET", "/admin/usage") => Response::json(&state.usage()),
        (method, path) => handle_object(state, method, path, &body),
    }
}

fn handle_object(state: &MemoryStore, method: &str, path: &str, body: &[u8]) -> Response {
    if let Some(prefix) = path.strip_prefix("/list/") {
        return json_response(state.list(prefix));
    }
    let Some(key) = path.strip_prefix("/objects/") else {
        return Response::empty_404();
    };
    match method {
        "PUT" => json_response(state.put(key, body)),
        _ => match state.get(key) {
            Ok(Some(content)) => Response::from_data("application/octet-stream", content),
            Ok(None) => Response::empty_404(),
            Err(error) => error_response(&error),
        },
    }
}

fn handle_table(state: &MemoryStore, body: &[u8]) -> Response {
    match serde_json::from_slice::<Call>(body) {
        Ok(Call::Read(key)) => json_response(state.read(&key)),
        Ok(Call::Insert(insert)) => json_response(state.insert(insert)),
        Ok(Call::Replace(replace)) => json_response(state.replace(replace)),
        Ok(Call::Transact(writes)) => json_response(state.transact(writes)),
        Err(_) => Response::empty_400(),
    }
}

fn json_response<T: Serialize>(result: Result<T, StoreError>) -> Response {
    match result {
        Ok(value) => Response::json(&value),
        Err(error) => error_response(&error),
    }
}

fn error_response(error: &StoreError) -> Response {
    match error {
        StoreError::Unavailable(_) => Response::text(error.to_string()).with_status_code(503),
        StoreError::ReplyLost(_) => {
            // Longer than any client's timeout, so the reply never arrives in time.
            thread::sleep(LOST_REPLY_DELAY);
            Response::text(error.to_string()).with_status_code(504)
        }
    }
}

fn read_body(request: &Request) -> Vec<u8> {
    let mut body = Vec::new();
    if let Some(mut data) = request.data() {
        // A truncated body fails to parse, which gives a 400 response.
        drop(data.read_to_end(&mut body));
    }
    body
}
