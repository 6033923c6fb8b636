//! Refusal of replayed datagrams.

use {
    crate::{Packet, WireError},
    baobab_unit::{HostId, Incarnation, Window},
    std::collections::BTreeMap,
};

#[derive(Debug, Default)]
struct Sender {
    incarnation: Incarnation,
    window: Window,
}

/// Remembers which datagrams of each sender were received.
#[derive(Debug, Default)]
pub struct Guard {
    senders: BTreeMap<HostId, Sender>,
}

impl Guard {
    /// Takes a packet's number in.
    ///
    /// # Errors
    ///
    /// Fails where the packet was received before or is from an earlier run of its sender.
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
