//! Responses: complete ones, and streams whose chunks are sent without buffering.

use std::{
    io::{ErrorKind, Result, Write},
    net::{Shutdown, TcpStream},
};

/// A response header: name and value.
pub type Header<'a> = (&'a str, &'a str);

/// Sends the response to one request.
#[derive(Debug)]
pub struct ResponseWriter {
    socket: TcpStream,
    keep_alive: bool,
}

impl ResponseWriter {
    pub(crate) fn new(socket: TcpStream, keep_alive: bool) -> Self {
        Self { socket, keep_alive }
    }

    /// Sends a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected, or if it reads nothing for the write timeout.
    pub fn send(mut self, status: u16, headers: &[Header<'_>], body: &[u8]) -> Result<()> {
        let mut bytes = response_head(status, headers, self.keep_alive);
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes)
    }

    /// Starts a chunked response.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected, or if it reads nothing for the write timeout.
    pub fn stream(mut self, status: u16, headers: &[Header<'_>]) -> Result<Stream> {
        let mut bytes = response_head(status, headers, false);
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        self.socket.write_all(&bytes)?;
        Ok(Stream {
            socket: self.socket,
        })
    }

    /// Whether the caller has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        is_closed(&self.socket)
    }
}

/// A chunked response. If dropped before `finish`, it ends without its terminating chunk.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
}

impl Drop for Stream {
    fn drop(&mut self) {
        // The read half of the connection is still open elsewhere, so closing must be explicit.
        if self.socket.shutdown(Shutdown::Both).is_err() {
            log::debug!("caller closed the connection before its stream ended");
        }
    }
}

impl Stream {
    /// Sends one chunk without buffering.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected, or if it reads nothing for the write timeout.
    pub fn send(&mut self, chunk: &[u8]) -> Result<()> {
        let mut bytes = format!("{:x}\r\n", chunk.len()).into_bytes();
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
        self.socket.write_all(&bytes)
    }

    /// Sends the terminating chunk, which marks the response as complete.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub fn finish(mut self) -> Result<()> {
        self.socket.write_all(b"0\r\n\r\n")
    }

    /// Whether the caller has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        is_closed(&self.socket)
    }
}

fn response_head(status: u16, headers: &[Header<'_>], keep_alive: bool) -> Vec<u8> {
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let lines: String = headers
        .iter()
        .flat_map(|(name, value)| [name, ": ", value, "\r\n"])
        .collect();
    let reason_phrase = reason_phrase(status);
    format!("HTTP/1.1 {status} {reason_phrase}\r\n{lines}Connection: {connection}\r\n").into_bytes()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

fn is_closed(socket: &TcpStream) -> bool {
    let mut byte = [0; 1];
    if socket.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = socket.peek(&mut byte);
    let restored = socket.set_nonblocking(false).is_ok();
    match peeked {
        Ok(0) => true,
        Ok(_) => !restored,
        Err(error) => error.kind() != ErrorKind::WouldBlock || !restored,
    }
}
