//! One connection, which carries one exchange at a time.

use {
    crate::{SendError, tune},
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpStream,
        task::AbortHandle,
        time::{Instant, timeout},
    },
};

/// Size of a read: events and short answers are smaller, and hundreds of connections are open.
const READ_BUFFER_BYTES: usize = 4096;

/// Bounds of a connection.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Longest time for opening.
    pub connect_timeout: Duration,
    /// Longest time that sent bytes may stay unacknowledged.
    pub silence: Duration,
}

/// An open connection. Dropping it closes the socket at once.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    used_at: Instant,
}

impl Connection {
    /// Opens a connection. Must be called within a `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails where the address does not accept in time.
    pub async fn open(address: SocketAddr, options: Options) -> Result<Self, SendError> {
        let not_sent = |reason: String| SendError::NotSent(reason);
        let stream = timeout(options.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| not_sent(format!("no connection to {address} in time")))?
            .map_err(|error| not_sent(format!("no connection to {address}: {error}")))?;
        tune(&stream, options.silence).map_err(|error| not_sent(error.to_string()))?;
        let (sender, driver) = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER_BYTES))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        let driver = tokio::task::spawn_local(async move {
            // The exchange that is under way reports the same error.
            let _ = driver.await;
        });
        Ok(Self {
            sender,
            driver: driver.abort_handle(),
            used_at: Instant::now(),
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks; the error tells whether the request has left.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.used_at = Instant::now();
        if let Err(error) = self.sender.ready().await {
            return Err(SendError::NotSent(error.to_string()));
        }
        let result = self.sender.try_send_request(request).await;
        self.used_at = Instant::now();
        result.map_err(|mut failure| {
            let was_kept = failure.take_message().is_some();
            let reason = failure.into_error().to_string();
            if was_kept {
                SendError::NotSent(reason)
            } else {
                SendError::Lost(reason)
            }
        })
    }

    /// Tells whether the connection was closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.is_finished()
    }

    /// Notes that an answer has ended.
    pub fn touch(&mut self) {
        self.used_at = Instant::now();
    }

    /// Returns the time since the connection was last used.
    #[must_use]
    pub fn idle_for(&self) -> Duration {
        self.used_at.elapsed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
