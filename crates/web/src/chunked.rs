//! Decoding of chunked request bodies.

use crate::{Rejection, request_reader::RequestReader};

/// Maximum length of a chunk-size or trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 64;

/// Reads a chunked body of at most `limit_bytes` and discards its trailers.
pub fn read_chunked(reader: &mut RequestReader, limit_bytes: usize) -> Result<Vec<u8>, Rejection> {
    let mut body = Vec::new();
    loop {
        let line = reader.read_line(MAX_CHUNK_LINE_BYTES)?;
        let size_bytes = chunk_size(&line)?;
        if body.len().saturating_add(size_bytes) > limit_bytes {
            return Err(Rejection::BodyTooLarge);
        }
        if size_bytes == 0 {
            read_trailers(reader)?;
            return Ok(body);
        }
        body.extend(reader.read_exact(size_bytes)?);
        if !reader.read_line(MAX_CHUNK_LINE_BYTES)?.is_empty() {
            return Err(Rejection::BadBody);
        }
    }
}

fn chunk_size(line: &[u8]) -> Result<usize, Rejection> {
    let text = std::str::from_utf8(line).map_err(|_| Rejection::BadBody)?;
    let digits = text.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(digits, 16).map_err(|_| Rejection::BadBody)
}

fn read_trailers(reader: &mut RequestReader) -> Result<(), Rejection> {
    while !reader.read_line(MAX_CHUNK_LINE_BYTES)?.is_empty() {}
    Ok(())
}
