//! Who a router is to its peers.

use {
    crate::gossip::PeerKey,
    baobab_unit::{Incarnation, millis},
    rand::Rng,
    std::time::{Duration, SystemTime},
};

/// One run of a router.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Key of its datagrams.
    pub key: PeerKey,
}

impl Identity {
    /// Draws an identity. Later runs have higher incarnations as long as the time of day does not
    /// step back; a lower one only delays what peers believe.
    #[must_use]
    pub fn draw() -> Self {
        let since_epoch = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Self {
            incarnation: millis(since_epoch),
            key: rand::rng().random(),
        }
    }
}
