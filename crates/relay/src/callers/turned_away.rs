//! Refusals of requests that an overloaded router does not read, at the least cost.

use {
    super::response::last_problem_response,
    crate::forward::{Problem, Reason, RefusalCause, retry_after},
    http::header::CONTENT_LENGTH,
    httparse::{EMPTY_HEADER, Request, Status},
    std::time::Duration,
    tokio::{io::AsyncReadExt, net::TcpStream, time::timeout},
};

/// How much of a request is read to find its end.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Headers of a request that are looked at.
const MAX_HEADERS: usize = 64;
/// Delay before a retry at another router.
const RETRY_AFTER: Duration = Duration::from_millis(60);
/// Time allowed for the caller to receive the refusal of a request that is still arriving.
const DISCARD_TIME: Duration = Duration::from_millis(500);

/// What has come of a connection that is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnreadRefusal {
    /// No request has arrived on it.
    NoRequest,
    /// The refusal is sent, or the caller has left.
    Sent {
        /// Whether the request has arrived completely, so that closing the connection does not reset it.
        is_request_complete: bool,
    },
}

/// Refuses the request that has arrived on a connection. It has not run, and its caller may retry at once at another
/// router. `request` is scratch memory; `random_fraction` in `0.0..1.0` spreads the retries.
pub fn refuse_unread(
    stream: &TcpStream,
    request: &mut Vec<u8>,
    random_fraction: f64,
) -> UnreadRefusal {
    request.resize(MAX_READ_BYTES, 0);
    let length = match read_available(stream, request) {
        Ok(0) => return UnreadRefusal::NoRequest,
        Ok(length) => length,
        Err(_) => {
            return UnreadRefusal::Sent {
                is_request_complete: true,
            };
        }
    };
    let cause = RefusalCause::Temporary(RETRY_AFTER);
    let delay = retry_after(cause, Duration::MAX, random_fraction);
    let problem = Problem::with_retry_after(Reason::Overloaded, delay);
    // A caller that does not receive this sees the connection close, as if it had not been accepted.
    let is_sent = stream.try_write(&last_problem_response(&problem)).is_ok();
    UnreadRefusal::Sent {
        is_request_complete: !is_sent || is_complete(&request[..length]),
    }
}

/// Reads and drops the rest of a refused request, so that the caller receives the refusal.
pub async fn discard_request(mut stream: TcpStream) {
    let mut buffer = [0; 4096];
    let read = async { while matches!(stream.read(&mut buffer).await, Ok(1..)) {} };
    let _ = timeout(DISCARD_TIME, read).await;
}

/// Returns how many bytes have arrived, at most as many as the buffer holds.
fn read_available(stream: &TcpStream, buffer: &mut [u8]) -> std::io::Result<usize> {
    let mut length = 0;
    while length < buffer.len() {
        match stream.try_read(&mut buffer[length..]) {
            Ok(0) if length == 0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            Ok(0) => break,
            Ok(read) => {
                length += read;
                if length < buffer.len() {
                    break;
                }
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(length)
}

/// Whether the bytes are a request with all of its body, as far as its head tells the length.
fn is_complete(bytes: &[u8]) -> bool {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = Request::new(&mut headers);
    let Ok(Status::Complete(head_length)) = request.parse(bytes) else {
        return false;
    };
    let content_length = request
        .headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(CONTENT_LENGTH.as_str()))
        .and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
    let body_length: usize = match content_length {
        Some(length) => length,
        None if request.method == Some("GET") => 0,
        None => return false,
    };
    bytes.len() >= head_length + body_length
}
