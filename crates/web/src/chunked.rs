//! Reading of chunked request bodies.

use crate::{Rejection, connection::Input};

/// Longest accepted chunk-size line, in bytes.
const CHUNK_LINE_BYTES: usize = 64;

/// Reads a chunked body of at most `limit_bytes`.
pub fn read_chunked(input: &mut Input, limit_bytes: usize) -> Result<Vec<u8>, Rejection> {
    let mut body = Vec::new();
    loop {
        let line = input.read_line(CHUNK_LINE_BYTES)?;
        let size_bytes = chunk_size(&line)?;
        if body.len().saturating_add(size_bytes) > limit_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        if size_bytes == 0 {
            read_trailers(input)?;
            return Ok(body);
        }
        body.extend(input.read_exact(size_bytes)?);
        if !input.read_line(CHUNK_LINE_BYTES)?.is_empty() {
            return Err(Rejection::BadBody);
        }
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, Rejection> {
    let text = std::str::from_utf8(line).map_err(|_| Rejection::BadBody)?;
    let digits = text.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(digits, 16).map_err(|_| Rejection::BadBody)
}

fn read_trailers(input: &mut Input) -> Result<(), Rejection> {
    while !input.read_line(CHUNK_LINE_BYTES)?.is_empty() {}
    Ok(())
}
