//! What a caller's connection is doing, seen from its bytes and its requests.

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

/// Activity of one connection.
#[derive(Debug)]
pub struct Gauge {
    requests: Cell<u32>,
    head_began: Cell<Option<Instant>>,
    idle_since: Cell<Instant>,
}

impl Gauge {
    /// Starts with a connection that has just been opened.
    #[must_use]
    pub fn new() -> Rc<Self> {
        Rc::new(Self {
            requests: Cell::new(0),
            head_began: Cell::new(None),
            idle_since: Cell::new(Instant::now()),
        })
    }

    /// Marks the connection as busy until the returned guard is dropped.
    #[must_use]
    pub fn begin(self: &Rc<Self>) -> Busy {
        self.requests.set(self.requests.get() + 1);
        self.head_began.set(None);
        Busy(Rc::clone(self))
    }

    /// Returns for how long a head has been arriving.
    #[must_use]
    pub fn head_age(&self) -> Option<Duration> {
        self.head_began.get().map(|began| began.elapsed())
    }

    /// Returns for how long no request has been under way.
    #[must_use]
    pub fn idle_for(&self) -> Option<Duration> {
        let is_idle = self.requests.get() == 0 && self.head_began.get().is_none();
        is_idle.then(|| self.idle_since.get().elapsed())
    }

    fn on_read(&self) {
        if self.requests.get() == 0 && self.head_began.get().is_none() {
            self.head_began.set(Some(Instant::now()));
        }
    }
}

/// A request that is under way on a connection.
#[derive(Debug)]
pub struct Busy(Rc<Gauge>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.idle_since.set(Instant::now());
    }
}

/// A stream that tells a gauge of what is read.
#[derive(Debug)]
pub struct Gauged<S> {
    stream: S,
    gauge: Rc<Gauge>,
}

impl<S> Gauged<S> {
    /// Wraps a stream.
    pub fn new(stream: S, gauge: Rc<Gauge>) -> Self {
        Self { stream, gauge }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Gauged<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > before {
            self.gauge.on_read();
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Gauged<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
