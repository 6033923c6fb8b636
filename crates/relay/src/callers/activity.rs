//! Tracks whether a caller's connection is idle, receiving a head or serving a request.

use {
    std::{
        cell::Cell,
        io,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::Instant,
    },
};

/// Activity of one connection, from the bytes read and the requests in flight.
#[derive(Debug)]
pub struct ConnectionActivity {
    requests: Cell<u32>,
    head_started_at: Cell<Option<Instant>>,
    idle_since: Cell<Instant>,
    is_write_blocked: Cell<bool>,
    ends_responses: Cell<bool>,
}

impl ConnectionActivity {
    /// Creates the activity of a connection that has just been opened.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            requests: Cell::new(0),
            head_started_at: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
            is_write_blocked: Cell::new(false),
            ends_responses: Cell::new(false),
        })
    }

    /// Marks the connection as busy until the returned guard is dropped.
    #[must_use]
    pub fn begin_request(self: &Rc<Self>) -> BusyGuard {
        self.requests.set(self.requests.get() + 1);
        self.head_started_at.set(None);
        BusyGuard(Rc::clone(self))
    }

    /// Records that a response ends with the connection, since its caller knows no chunks.
    pub fn on_http_1_0(&self) {
        self.ends_responses.set(true);
    }

    /// Whether the end of the connection is the end of a response.
    #[must_use]
    pub fn ends_responses(&self) -> bool {
        self.ends_responses.get()
    }

    /// Returns how long a head has been arriving, or none if no head is or a response is still being
    /// sent.
    #[must_use]
    pub fn head_age(&self) -> Option<Duration> {
        self.head_started_at
            .get()
            .filter(|_| !self.is_write_blocked.get())
            .map(|started_at| started_at.elapsed())
    }

    /// Returns how long the connection has been idle, or none if it is not.
    #[must_use]
    pub fn idle_for(&self) -> Option<Duration> {
        let is_idle = self.requests.get() == 0
            && self.head_started_at.get().is_none()
            && !self.is_write_blocked.get();
        is_idle.then(|| self.idle_since.get().elapsed())
    }

    fn on_write(&self, is_blocked: bool) {
        let was_blocked = self.is_write_blocked.replace(is_blocked);
        if was_blocked && !is_blocked {
            let now = Instant::now();
            self.idle_since.set(now);
            self.head_started_at
                .set(self.head_started_at.get().map(|_| now));
        }
    }

    fn on_read(&self) {
        if self.requests.get() == 0 && self.head_started_at.get().is_none() {
            self.head_started_at.set(Some(Instant::now()));
        }
    }
}

/// A request in flight on a connection.
#[derive(Debug)]
pub struct BusyGuard(Rc<ConnectionActivity>);

impl BusyGuard {
    /// Returns another guard, which marks the connection as busy until it is dropped, too.
    #[must_use]
    pub fn share(&self) -> Self {
        self.0.begin_request()
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// A stream that reports reads to a [`ConnectionActivity`].
#[derive(Debug)]
pub struct TrackedStream<S> {
    stream: S,
    activity: Rc<ConnectionActivity>,
}

impl<S> TrackedStream<S> {
    /// Wraps `stream`.
    pub fn new(stream: S, activity: Rc<ConnectionActivity>) -> Self {
        Self { stream, activity }
    }

    /// Returns the wrapped stream.
    pub fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.activity.on_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.on_write(result.is_pending());
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        slices: &[io::IoSlice],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.activity.on_write(result.is_pending());
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
