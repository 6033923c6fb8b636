//! How much of a request is written by the time its server ends the response.

use {
    std::{
        cell::{Cell, RefCell},
        io::{self, IoSlice},
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Progress of the request on a connection, shared with the task that drives it.
#[derive(Debug, Default)]
pub(crate) struct Upload {
    body_bytes: Cell<u64>,
    written_bytes: Cell<u64>,
    /// Whether the last write took only a part of what was offered.
    has_rest: Cell<bool>,
    /// Whether no request uses the connection.
    is_idle: Cell<bool>,
    /// Whether all was written when the server closed the connection or its side of it.
    is_whole_at_end: Cell<Option<bool>>,
    /// The socket, once the server has closed its side and the connection is not used any more.
    ended: RefCell<Option<TcpStream>>,
}

impl Upload {
    /// Begins a request with a body of this length.
    pub(crate) fn begin(&self, body_bytes: u64) {
        self.body_bytes.set(body_bytes);
        self.written_bytes.set(0);
        self.has_rest.set(false);
        self.is_idle.set(false);
    }

    /// Records that no request uses the connection any more.
    pub(crate) fn end(&self) {
        self.is_idle.set(true);
    }

    /// Returns the length of the body of the last request.
    pub(crate) fn body_bytes(&self) -> u64 {
        self.body_bytes.get()
    }

    /// Whether the whole request is written, or was when the server ended the connection.
    pub(crate) fn is_whole(&self) -> bool {
        let is_written = !self.has_rest.get() && self.written_bytes.get() >= self.body_bytes.get();
        self.is_whole_at_end.get().unwrap_or(is_written)
    }

    /// Whether the server has reset the connection after it had closed its side.
    pub(crate) fn is_reset(&self) -> bool {
        let ended = self.ended.borrow();
        ended
            .as_ref()
            .is_some_and(|stream| !matches!(stream.take_error(), Ok(None)))
    }

    fn on_write(&self, offered: usize, result: &Poll<io::Result<usize>>) {
        let written = match result {
            Poll::Ready(Ok(written)) => *written,
            _ => 0,
        };
        self.written_bytes
            .set(self.written_bytes.get() + written as u64);
        self.has_rest.set(written < offered);
    }

    fn on_end(&self) {
        if self.is_whole_at_end.get().is_none() {
            self.is_whole_at_end.set(Some(self.is_whole()));
        }
    }
}

/// A TCP connection that records how much of a request is written.
pub(crate) struct UploadStream {
    /// None once dropped.
    stream: Option<TcpStream>,
    upload: Rc<Upload>,
}

impl UploadStream {
    /// Records the writes to `stream` in `upload`.
    pub(crate) fn new(stream: TcpStream, upload: &Rc<Upload>) -> Self {
        Self {
            stream: Some(stream),
            upload: Rc::clone(upload),
        }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let closed = || io::Error::from(io::ErrorKind::NotConnected);
        self.stream.as_mut().map(Pin::new).ok_or_else(closed)
    }
}

impl Drop for UploadStream {
    fn drop(&mut self) {
        // A reset that follows the end of the server's side shows only while the socket is open.
        if self.upload.is_whole_at_end.get().is_some() && !self.upload.is_idle.get() {
            self.upload.ended.replace(self.stream.take());
        }
    }
}

impl AsyncRead for UploadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        buffer: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        let length_before = buffer.filled().len();
        let result = ready!(self.stream()?.poll_read(context, buffer));
        if result.is_err() || buffer.filled().len() == length_before {
            self.upload.on_end();
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for UploadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = self.stream()?.poll_write(context, data);
        self.upload.on_write(data.len(), &result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        let result = self.stream()?.poll_write_vectored(context, parts);
        let offered = parts.iter().map(|part| part.len()).sum();
        self.upload.on_write(offered, &result);
        result
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<io::Result<()>> {
        // The kernel reports no reset of a connection whose both sides are closed.
        if self.upload.is_whole_at_end.get().is_some() {
            return Poll::Ready(Ok(()));
        }
        self.stream()?.poll_shutdown(context)
    }
}
