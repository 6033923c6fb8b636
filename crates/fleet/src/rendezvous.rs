//! Rendezvous hashing: every host computes the same order without a message.

use baobab_unit::{HostId, PoolId};

/// Returns a host's score for a pool; the highest one wins.
#[must_use]
pub fn score(pool: PoolId, host: HostId) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&pool.to_le_bytes());
    bytes[4..].copy_from_slice(&host.to_le_bytes());
    let digest = blake3::hash(&bytes);
    let mut start = [0; 8];
    start.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(start)
}
