//! Answers: whole ones, and streams whose pieces leave at once.

use std::{
    io::{ErrorKind, Result, Write},
    net::{Shutdown, TcpStream},
};

/// A response header: name and value.
pub type Header<'a> = (&'a str, &'a str);

/// The way to answer one request.
#[derive(Debug)]
pub struct Reply {
    socket: TcpStream,
    keep: bool,
}

impl Reply {
    pub(crate) fn new(socket: TcpStream, keep: bool) -> Self {
        Self { socket, keep }
    }

    /// Sends a whole answer.
    ///
    /// # Errors
    ///
    /// Fails where the caller is gone or doesn't read.
    pub fn send(mut self, status: u16, headers: &[Header<'_>], body: &[u8]) -> Result<()> {
        let mut bytes = head(status, headers, self.keep);
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.socket.write_all(&bytes)
    }

    /// Starts a chunked answer.
    ///
    /// # Errors
    ///
    /// Fails where the caller is gone or doesn't read.
    pub fn stream(mut self, status: u16, headers: &[Header<'_>]) -> Result<Stream> {
        let mut bytes = head(status, headers, false);
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
        self.socket.write_all(&bytes)?;
        Ok(Stream {
            socket: self.socket,
        })
    }

    /// Tells whether the caller has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        is_closed(&self.socket)
    }
}

/// An answer sent piece by piece. Dropped before `finish`, it ends visibly broken.
#[derive(Debug)]
pub struct Stream {
    socket: TcpStream,
}

impl Drop for Stream {
    fn drop(&mut self) {
        // The connection's reading half is held elsewhere, so closing must be explicit.
        if self.socket.shutdown(Shutdown::Both).is_err() {
            log::debug!("the caller had closed before the stream ended");
        }
    }
}

impl Stream {
    /// Sends one piece at once.
    ///
    /// # Errors
    ///
    /// Fails where the caller is gone or doesn't read.
    pub fn send(&mut self, piece: &[u8]) -> Result<()> {
        let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
        bytes.extend_from_slice(piece);
        bytes.extend_from_slice(b"\r\n");
        self.socket.write_all(&bytes)
    }

    /// Ends the answer as complete.
    ///
    /// # Errors
    ///
    /// Fails where the caller is gone.
    pub fn finish(mut self) -> Result<()> {
        self.socket.write_all(b"0\r\n\r\n")
    }

    /// Tells whether the caller has closed the connection.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        is_closed(&self.socket)
    }
}

fn head(status: u16, headers: &[Header<'_>], keep: bool) -> Vec<u8> {
    let connection = if keep { "keep-alive" } else { "close" };
    let lines: String = headers
        .iter()
        .flat_map(|(name, value)| [name, ": ", value, "\r\n"])
        .collect();
    let reason = reason(status);
    format!("HTTP/1.1 {status} {reason}\r\n{lines}Connection: {connection}\r\n").into_bytes()
}

fn reason(status: u16) -> &'static str {
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
