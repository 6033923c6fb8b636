//! Replay protection of datagrams.

use {
    crate::{Packet, WireError},
    baobab_unit::{HostId, Incarnation, Window},
    std::collections::BTreeMap,
};

#[derive(Debug, Default)]
struct SenderState {
    incarnation: Incarnation,
    window: Window,
}

/// Rejects replayed packets by a window of received sequence numbers per sender.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    senders: BTreeMap<HostId, SenderState>,
}

impl ReplayGuard {
    /// Records the sequence number of a packet.
    ///
    /// # Errors
    ///
    /// Fails if the packet was received before, is older than the window, or is from an earlier
    /// run of its sender.
    pub fn accept(&mut self, packet: &Packet) -> Result<(), WireError> {
        let sender = self.senders.entry(packet.sender).or_default();
        if packet.incarnation < sender.incarnation {
            return Err(WireError::OldIncarnation);
        }
        if packet.incarnation > sender.incarnation {
            sender.incarnation = packet.incarnation;
            sender.window = Window::default();
        }
        if sender.window.accept(packet.number) {
            Ok(())
        } else {
            Err(WireError::Replayed)
        }
    }
}
