//! Rendezvous hashing of prompt parts over engines, on which all routers agree without messages.

use {
    crate::{PartId, ServerKey},
    xxhash_rust::xxh3::xxh3_64,
};

/// Returns a server's rendezvous score for a part; the highest score is preferred.
#[must_use]
pub fn rendezvous_score(part: PartId, server: ServerKey) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&part.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    xxh3_64(&bytes)
}
