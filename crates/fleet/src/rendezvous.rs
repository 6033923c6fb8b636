//! Rendezvous hashing, by which all hosts agree on an order without messages.

use baobab_unit::{HostId, PoolId};

/// Returns a host's rendezvous score for a pool; the highest score is preferred.
#[must_use]
pub fn rendezvous_score(pool: PoolId, host: HostId) -> u64 {
    let mut bytes = [0; 8];
    bytes[..4].copy_from_slice(&pool.to_le_bytes());
    bytes[4..].copy_from_slice(&host.to_le_bytes());
    let digest = blake3::hash(&bytes);
    let mut start = [0; 8];
    start.copy_from_slice(&digest.as_bytes()[..8]);
    u64::from_le_bytes(start)
}
