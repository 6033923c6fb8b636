//! Identity of a router towards its peers.

use {
    crate::gossip::PeerKey,
    baobab_unit::{Incarnation, millis},
    rand::Rng,
    std::time::{Duration, SystemTime},
};

/// Identity of one run of a router.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// Run of the process, in milliseconds since the Unix epoch at its start.
    pub incarnation: Incarnation,
    /// Key that authenticates its datagrams.
    pub key: PeerKey,
}

impl Identity {
    /// Generates an identity. Later runs have higher incarnations as long as the system clock does
    /// not step back; a lower one only delays acceptance by the peers.
    #[must_use]
    pub fn generate() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self {
            incarnation: millis(since_epoch),
            key: rand::rng().random(),
        }
    }
}
