//! An HTTP/1.1 connection, which carries one request at a time.

use {
    crate::{
        SendError, configure_socket, is_closed_by_server,
        upload::{Upload, UploadStream},
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{
        body::{Body, Incoming},
        client::conn::http1,
    },
    hyper_util::rt::TokioIo,
    socket2::SockRef,
    std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, timeout},
    },
};

/// Read buffer per connection. Events and short responses are smaller, and hundreds of connections
/// are open.
const READ_BUFFER_BYTES: usize = 4096;

/// Bytes of a request that the kernel takes before it sends them. Otherwise it takes several megabytes, and a
/// request counts as written that its server has not received.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;

/// Timeouts of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Timeout for the TCP connect.
    pub connect_timeout: Duration,
    /// `TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged.
    pub user_timeout: Duration,
}

/// An open connection. Dropping it closes the socket immediately.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    opened_at: Instant,
    used_at: Instant,
    closed_at: Rc<Cell<Option<Instant>>>,
    upload: Rc<Upload>,
    /// When the process at its other end started, in Unix milliseconds, if that process has said so.
    pub peer_started_unix_ms: Option<u64>,
}

impl Connection {
    /// Opens a connection. Must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::NotSent`] if the connection cannot be set up in time.
    pub async fn open(address: SocketAddr, options: Options) -> Result<Self, SendError> {
        let not_sent = |reason: String| SendError::NotSent(reason);
        let stream = timeout(options.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent(format!("connecting to {address} timed out")))?
            .map_err(|error| not_sent(format!("cannot connect to {address}: {error}")))?;
        configure_socket(&stream, options.user_timeout)
            .and_then(|()| SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES))
            .map_err(|error| not_sent(error.to_string()))?;
        let upload = Rc::new(Upload::default());
        let (sender, driver) = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(TokioIo::new(UploadStream::new(stream, &upload)))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let closed_at = Rc::new(Cell::new(None));
        let closed = Rc::clone(&closed_at);
        let driver = tokio::task::spawn_local(async move {
            // The request in flight reports the same error.
            let _ = driver.await;
            closed.set(Some(Instant::now()));
        });
        let now = Instant::now();
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            opened_at: now,
            used_at: now,
            closed_at,
            upload,
            peer_started_unix_ms: None,
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks; the variant says whether any of the request was sent.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.used_at = Instant::now();
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent(error.to_string()));
        }
        let body_bytes = request.body().size_hint().lower();
        self.upload.begin(body_bytes);
        let result = self.sender.try_send_request(request).await;
        self.used_at = Instant::now();
        result.map_err(|mut error| {
            let is_unsent = error.take_message().is_some();
            let error = error.into_error();
            let reason = error.to_string();
            if is_unsent {
                SendError::NotSent(reason)
            } else if is_closed_by_server(&error) {
                SendError::Closed(reason)
            } else {
                SendError::Lost(reason)
            }
        })
    }

    /// Whether either side has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.is_finished()
    }

    /// Whether the whole request was written to the socket, before the server closed the connection or its
    /// side of it.
    #[must_use]
    pub fn is_request_written(&self) -> bool {
        self.upload.is_whole()
    }

    /// Returns the length of the body of the last request.
    #[must_use]
    pub fn request_bytes(&self) -> u64 {
        self.upload.body_bytes()
    }

    /// Whether the server has reset the connection after it had closed its side of it.
    #[must_use]
    pub fn is_reset(&self) -> bool {
        self.upload.is_reset()
    }

    /// Returns when the connection was opened.
    #[must_use]
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// Resets the idle time, once a response has ended.
    pub fn touch(&mut self) {
        self.used_at = Instant::now();
        self.upload.end();
    }

    /// Returns the time since the connection was last used, or from then until the server closed it.
    #[must_use]
    pub fn idle_for(&self) -> Duration {
        let until = self.closed_at.get().unwrap_or_else(Instant::now);
        until.saturating_duration_since(self.used_at)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
