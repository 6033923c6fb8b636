//! Reads request heads and bodies from an accepted connection, with deadlines.

use {
    crate::{Limits, Rejection, Request, chunked},
    std::{
        io::{ErrorKind, Read},
        net::TcpStream,
        time::{Duration, Instant},
    },
};

const MAX_HEADERS: usize = 64;
const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Buffered reader of a connection with a deadline for each part of a request.
pub struct RequestReader {
    socket: TcpStream,
    buffer: Vec<u8>,
    deadline: Instant,
}

impl RequestReader {
    /// Creates a reader of an accepted socket.
    pub fn new(socket: TcpStream) -> Self {
        Self {
            socket,
            buffer: Vec::new(),
            deadline: Instant::now(),
        }
    }

    /// Reads the next request; `None` if the caller closed or stayed idle between requests.
    pub fn read_request(&mut self, limits: &Limits) -> Result<Option<Request>, Rejection> {
        self.set_deadline(limits.idle_timeout);
        while self.buffer.is_empty() {
            match self.fill_buffer() {
                Ok(true) => {}
                Ok(false) | Err(_) => return Ok(None),
            }
        }
        self.set_deadline(limits.head_timeout);
        let mut request = self.read_head(limits)?;
        self.set_deadline(limits.body_timeout);
        request.body = self.read_body(&request, limits.max_body_bytes)?;
        Ok(Some(request))
    }

    /// Reads a line of at most `limit_bytes` and returns it without its line break.
    pub fn read_line(&mut self, limit_bytes: usize) -> Result<Vec<u8>, Rejection> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let mut line: Vec<u8> = self.buffer.drain(..=end).collect();
                line.pop();
                if line.last() == Some(&b'\r') {
                    line.pop();
                }
                return Ok(line);
            }
            if self.buffer.len() > limit_bytes {
                return Err(Rejection::BadBody);
            }
            self.fill_buffer_for_body()?;
        }
    }

    /// Reads exactly `size_bytes` bytes.
    pub fn read_exact(&mut self, size_bytes: usize) -> Result<Vec<u8>, Rejection> {
        while self.buffer.len() < size_bytes {
            self.fill_buffer_for_body()?;
        }
        Ok(self.buffer.drain(..size_bytes).collect())
    }

    fn set_deadline(&mut self, timeout: Duration) {
        self.deadline = Instant::now() + timeout;
    }

    fn read_head(&mut self, limits: &Limits) -> Result<Request, Rejection> {
        loop {
            if let Some((request, head_bytes)) = self.parse_head()? {
                if head_bytes > limits.max_head_bytes {
                    return Err(Rejection::HeadTooLarge);
                }
                self.buffer.drain(..head_bytes);
                return Ok(request);
            }
            if self.buffer.len() > limits.max_head_bytes {
                return Err(Rejection::HeadTooLarge);
            }
            match self.fill_buffer() {
                Ok(true) => {}
                Ok(false) => return Err(Rejection::BadHead),
                Err(_) => return Err(Rejection::HeadTimeout),
            }
        }
    }

    fn parse_head(&self) -> Result<Option<(Request, usize)>, Rejection> {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut header_slots);
        let parsed = head.parse(&self.buffer).map_err(|_| Rejection::BadHead)?;
        let httparse::Status::Complete(head_bytes) = parsed else {
            return Ok(None);
        };
        let target = head.path.unwrap_or("/");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let headers = head
            .headers
            .iter()
            .map(|header| {
                let value = String::from_utf8_lossy(header.value).trim().to_owned();
                (header.name.to_ascii_lowercase(), value)
            })
            .collect();
        let request = Request {
            method: head.method.unwrap_or_default().to_owned(),
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body: Vec::new(),
            caller_address: self.socket.peer_addr().map_err(|_| Rejection::BadHead)?,
        };
        Ok(Some((request, head_bytes)))
    }

    fn read_body(&mut self, request: &Request, limit_bytes: usize) -> Result<Vec<u8>, Rejection> {
        let coding = request.header("transfer-encoding");
        let length = request.header("content-length");
        match (coding, length) {
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => {
                chunked::read_chunked(self, limit_bytes)
            }
            // Both headers at once allow request smuggling; other codings aren't supported.
            (Some(_), _) => Err(Rejection::BadHead),
            (None, None) => Ok(Vec::new()),
            (None, Some(text)) => {
                let size_bytes: usize = text.parse().map_err(|_| Rejection::BadHead)?;
                if size_bytes > limit_bytes {
                    return Err(Rejection::BodyTooLarge);
                }
                self.read_exact(size_bytes)
            }
        }
    }

    fn fill_buffer_for_body(&mut self) -> Result<(), Rejection> {
        match self.fill_buffer() {
            Ok(true) => Ok(()),
            Ok(false) | Err(_) => Err(Rejection::BodyIncomplete),
        }
    }

    /// Reads more bytes before the deadline. Returns false if the caller has closed.
    fn fill_buffer(&mut self) -> std::io::Result<bool> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.socket.set_read_timeout(Some(remaining))?;
        let mut bytes = [0; READ_CHUNK_BYTES];
        let count = self.socket.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }
}
