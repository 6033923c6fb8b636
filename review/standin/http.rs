//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as a server reads it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns a query parameter, percent-decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let (_, value) = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)?;
        Some(percent_decode(value))
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.as_str())
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match hex {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads from a connection, with what was read too far.
pub struct Reader {
    stream: TcpStream,
    buffered: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffered: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buffer = [0; 16384];
        let length = self.stream.read(&mut buffer)?;
        self.buffered.extend_from_slice(&buffer[..length]);
        Ok(length > 0)
    }

    fn take(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffered.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        let rest = self.buffered.split_off(length);
        Ok(Some(std::mem::replace(&mut self.buffered, rest)))
    }

    fn until(&mut self, end: &[u8]) -> io::Result<Option<Vec<u8>>> {
        loop {
            let found = self
                .buffered
                .windows(end.len())
                .position(|window| window == end);
            if let Some(at) = found {
                return self.take(at + end.len());
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads start line and headers; none at the end of the connection.
    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        let Some(head) = self.until(b"\r\n\r\n")? else {
            return Ok(None);
        };
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some((start, headers)))
    }

    /// Reads the next request; none at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((start, headers)) = self.head()? else {
            return Ok(None);
        };
        let mut words = start.split(' ');
        let mut request = Request {
            target: words.nth(1).unwrap_or_default().to_owned(),
            headers,
            body: Vec::new(),
        };
        let length = request
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        match self.take(length)? {
            Some(body) => request.body = body,
            None => return Ok(None),
        }
        Ok(Some(request))
    }
}

/// What a client has got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if the channel ended before a head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body came as the head announced it.
    pub is_complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Sends one request on a new channel and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let started = Instant::now();
    let mut answer = Answer::default();
    let _ = exchange(address, method, target, headers, body, limit, &mut answer);
    answer.took = started.elapsed();
    answer
}

fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = Reader::new(stream);
    read_answer(&mut reader, answer)
}

/// Reads an answer; what was read before an error stays in `answer`.
pub fn read_answer(reader: &mut Reader, answer: &mut Answer) -> io::Result<()> {
    let Some((start, headers)) = reader.head()? else {
        return Ok(());
    };
    answer.status = start
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    answer.headers = headers;
    let length = answer.header("content-length").map(str::to_owned);
    if answer.header("transfer-encoding").is_some() {
        loop {
            let Some(line) = reader.until(b"\r\n")? else {
                return Ok(());
            };
            let line = String::from_utf8_lossy(&line).trim().to_owned();
            let size = usize::from_str_radix(&line, 16).unwrap_or(0);
            let Some(chunk) = reader.take(size + 2)? else {
                let rest = std::mem::take(&mut reader.buffered);
                answer.body.extend_from_slice(&rest);
                return Ok(());
            };
            answer.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                answer.is_complete = true;
                return Ok(());
            }
        }
    }
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    if let Some(body) = reader.take(length)? {
        answer.body = body;
        answer.is_complete = true;
    }
    Ok(())
}
