//! Rendezvous hashing of prompt parts over engines: all routers agree on homes without a message.

use {
    crate::{PartId, ServerKey},
    xxhash_rust::xxh3::xxh3_64,
};

/// Returns how well a server suits a part as its home; the highest one wins.
#[must_use]
pub fn home_score(part: PartId, server: ServerKey) -> u64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&part.to_le_bytes());
    bytes[8..].copy_from_slice(&server.to_le_bytes());
    xxh3_64(&bytes)
}
