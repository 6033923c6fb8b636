//! The platform stand-in: table, object store and host list over HTTP, with failures on demand.

use {
    crate::StandinError,
    baobab_store::{
        Call, Faults, HostEntry, HostList, MemoryStore, ObjectStore, StoreError, Table,
    },
    rouille::{Request, Response, Server},
    serde::Serialize,
    std::{io::Read, net::SocketAddr, sync::Arc, thread, time::Duration},
};

/// Threads that answer calls.
const THREADS: usize = 32;
/// Time that a call whose reply is lost keeps its caller waiting.
const LOST_REPLY_WAIT: Duration = Duration::from_secs(2);

/// A running platform.
pub struct PlatformServer {
    address: SocketAddr,
    state: Arc<MemoryStore>,
}

impl PlatformServer {
    /// Starts the platform.
    ///
    /// # Errors
    ///
    /// Fails where its address can't be bound.
    pub fn spawn(address: SocketAddr) -> Result<Self, StandinError> {
        let state: Arc<MemoryStore> = Arc::default();
        let shared = Arc::clone(&state);
        let server = Server::new(address, move |request| answer(&shared, request))
            .map_err(|error| StandinError::Bind(address, error.to_string()))?
            .pool_size(THREADS);
        let address = server.server_addr();
        thread::spawn(move || server.run());
        Ok(Self { address, state })
    }

    /// Returns its address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns its state.
    #[must_use]
    pub fn state(&self) -> &Arc<MemoryStore> {
        &self.state
    }
}

fn answer(state: &MemoryStore, request: &Request) -> Response {
    let url = request.url();
    let body = read_body(request);
    match (request.method(), url.as_str()) {
        ("POST", "/table") => table(state, &body),
        ("GET", "/hosts") => reply(state.hosts()),
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
        (method, path) => objects(state, method, path, &body),
    }
}

fn objects(state: &MemoryStore, method: &str, path: &str, body: &[u8]) -> Response {
    if let Some(prefix) = path.strip_prefix("/list/") {
        return reply(state.list(prefix));
    }
    let Some(key) = path.strip_prefix("/objects/") else {
        return Response::empty_404();
    };
    match method {
        "PUT" => reply(state.put(key, body)),
        _ => match state.get(key) {
            Ok(Some(content)) => Response::from_data("application/octet-stream", content),
            Ok(None) => Response::empty_404(),
            Err(error) => failure(&error),
        },
    }
}

fn table(state: &MemoryStore, body: &[u8]) -> Response {
    match serde_json::from_slice::<Call>(body) {
        Ok(Call::Read(key)) => reply(state.read(&key)),
        Ok(Call::Insert(insert)) => reply(state.insert(insert)),
        Ok(Call::Replace(replace)) => reply(state.replace(replace)),
        Ok(Call::Transact(writes)) => reply(state.transact(writes)),
        Err(_) => Response::empty_400(),
    }
}

fn reply<T: Serialize>(result: Result<T, StoreError>) -> Response {
    match result {
        Ok(value) => Response::json(&value),
        Err(error) => failure(&error),
    }
}

fn failure(error: &StoreError) -> Response {
    match error {
        StoreError::Unavailable(_) => Response::text(error.to_string()).with_status_code(503),
        StoreError::ReplyLost(_) => {
            // Longer than any caller waits: the reply never arrives in time.
            thread::sleep(LOST_REPLY_WAIT);
            Response::text(error.to_string()).with_status_code(504)
        }
    }
}

fn read_body(request: &Request) -> Vec<u8> {
    let mut body = Vec::new();
    if let Some(mut data) = request.data() {
        // A body that breaks off fails to parse, which is answered as a bad request.
        drop(data.read_to_end(&mut body));
    }
    body
}
