//! HTTP client of the platform.

use {
    crate::{
        Call, HostEntry, HostList, Insert, Inserted, ObjectStore, Replace, Replaced, Row,
        StoreError, Table, Write,
    },
    attohttpc::{Method, RequestBuilder, Response},
    baobab_body::read_whole,
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
};

/// Client of the platform's HTTP interface. Each call has its own connection and timeout.
#[derive(Debug, Clone)]
pub struct HttpStore {
    base_url: String,
    timeout: Duration,
}

impl HttpStore {
    /// Creates a client without connecting. `timeout` applies to connecting and to each read.
    #[must_use]
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            base_url: format!("http://{address}"),
            timeout,
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("{}{path}", self.base_url))
            .connect_timeout(self.timeout)
            .read_timeout(self.timeout)
            .follow_redirects(false)
    }

    fn call<T: DeserializeOwned>(&self, call: &Call) -> Result<T, StoreError> {
        let request = self
            .request(Method::POST, "/table")
            .json(call)
            .map_err(reply_lost)?;
        parse_json(check_status(request.send().map_err(reply_lost)?)?)
    }

    fn fetch<T: DeserializeOwned>(&self, path: &str) -> Result<T, StoreError> {
        let response = self.request(Method::GET, path).send().map_err(reply_lost)?;
        parse_json(check_status(response)?)
    }
}

impl Table for HttpStore {
    fn read(&self, key: &str) -> Result<Option<Row>, StoreError> {
        self.call(&Call::Read(key.to_owned()))
    }

    fn insert(&self, insert: Insert) -> Result<Inserted, StoreError> {
        self.call(&Call::Insert(insert))
    }

    fn replace(&self, replace: Replace) -> Result<Replaced, StoreError> {
        self.call(&Call::Replace(replace))
    }

    fn transact(&self, writes: Vec<Write>) -> Result<bool, StoreError> {
        self.call(&Call::Transact(writes))
    }
}

impl ObjectStore for HttpStore {
    fn put(&self, key: &str, content: &[u8]) -> Result<(), StoreError> {
        let request = self
            .request(Method::PUT, &format!("/objects/{key}"))
            .bytes(content);
        check_status(request.send().map_err(reply_lost)?).map(drop)
    }

    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let response = self
            .request(Method::GET, &format!("/objects/{key}"))
            .send()
            .map_err(reply_lost)?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        read_whole(check_status(response)?)
            .map(Some)
            .map_err(reply_lost)
    }

    fn list(&self, prefix: &str) -> Result<Vec<String>, StoreError> {
        self.fetch(&format!("/list/{prefix}"))
    }
}

impl HostList for HttpStore {
    fn hosts(&self) -> Result<Vec<HostEntry>, StoreError> {
        self.fetch("/hosts")
    }
}

fn check_status(response: Response) -> Result<Response, StoreError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let reason = format!("status {status}");
    // Only status 503 guarantees that the call had no effect.
    if status.as_u16() == 503 {
        return Err(StoreError::Unavailable(reason));
    }
    Err(StoreError::ReplyLost(reason))
}

fn parse_json<T: DeserializeOwned>(response: Response) -> Result<T, StoreError> {
    let bytes = read_whole(response).map_err(reply_lost)?;
    serde_json::from_slice(&bytes).map_err(reply_lost)
}

fn reply_lost(error: impl std::fmt::Display) -> StoreError {
    StoreError::ReplyLost(error.to_string())
}
