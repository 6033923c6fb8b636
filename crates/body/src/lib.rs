//! Bodies of HTTP responses.

use {
    attohttpc::{Response, StatusCode, header::CONTENT_LENGTH},
    std::io::{self, Read},
};

/// Reads the body of a response to a request other than HEAD, whole.
///
/// # Errors
///
/// Fails if reading fails, or the body is shorter than its declared length: the library takes the end of the
/// connection for that of the body.
pub fn read_whole(response: Response) -> io::Result<Vec<u8>> {
    let (status, headers, mut reader) = response.split();
    let declared = headers
        .get(CONTENT_LENGTH)
        .filter(|_| status != StatusCode::NOT_MODIFIED)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse::<usize>().ok());
    let mut body = Vec::new();
    reader.read_to_end(&mut body)?;
    match declared {
        Some(length) if body.len() < length => Err(io::Error::new(
            io::ErrorKind::UnexpectedEof,
            format!("the body has {} of {length} bytes", body.len()),
        )),
        _ => Ok(body),
    }
}
