//! Packets with a keyed hash.

use {
    crate::{Message, WireError, rows::WireMessage},
    baobab_unit::{HostId, Incarnation, Sequence},
    serde::{Deserialize, Serialize},
};

/// Key shared by the routers of a fleet.
pub type FleetKey = [u8; 32];

const TAG_BYTES: usize = 16;
/// Largest packet; one sent as a datagram is bounded by the socket.
const MAX_PACKET_BYTES: usize = 4 * 1024 * 1024;

/// What one datagram carries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// The sending host.
    pub sender: HostId,
    /// The host that it is meant for.
    pub receiver: HostId,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Number within the sender's run and this receiver, from one.
    pub number: Sequence,
    /// The messages.
    pub messages: Vec<Message>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WirePacket {
    sender: HostId,
    receiver: HostId,
    incarnation: Incarnation,
    number: Sequence,
    messages: Vec<WireMessage>,
}

impl From<&Packet> for WirePacket {
    fn from(packet: &Packet) -> Self {
        Self {
            sender: packet.sender,
            receiver: packet.receiver,
            incarnation: packet.incarnation,
            number: packet.number,
            messages: packet.messages.iter().map(WireMessage::from).collect(),
        }
    }
}

impl TryFrom<WirePacket> for Packet {
    type Error = WireError;

    fn try_from(packet: WirePacket) -> Result<Self, WireError> {
        let messages: Result<Vec<Message>, WireError> =
            packet.messages.into_iter().map(Message::try_from).collect();
        Ok(Self {
            sender: packet.sender,
            receiver: packet.receiver,
            incarnation: packet.incarnation,
            number: packet.number,
            messages: messages?,
        })
    }
}

/// Encodes and decodes packets under a fleet's key.
#[derive(Clone)]
pub struct Codec {
    key: FleetKey,
}

impl std::fmt::Debug for Codec {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Codec")
    }
}

impl Codec {
    /// Makes a codec for a key.
    #[must_use]
    pub fn new(key: FleetKey) -> Self {
        Self { key }
    }

    /// Encodes a packet: its content, then the tag.
    ///
    /// # Errors
    ///
    /// Fails where the packet is too large for a datagram.
    pub fn encode(&self, packet: &Packet) -> Result<Vec<u8>, WireError> {
        let mut bytes =
            postcard::to_stdvec(&WirePacket::from(packet)).map_err(|_| WireError::Malformed)?;
        if bytes.len() + TAG_BYTES > MAX_PACKET_BYTES {
            return Err(WireError::Size);
        }
        let hash = blake3::keyed_hash(&self.key, &bytes);
        bytes.extend_from_slice(&hash.as_bytes()[..TAG_BYTES]);
        Ok(bytes)
    }

    /// Checks the tag and decodes a packet.
    ///
    /// # Errors
    ///
    /// Fails where the datagram was not made by a holder of the key or holds impossible values.
    pub fn decode(&self, datagram: &[u8]) -> Result<Packet, WireError> {
        if !(TAG_BYTES..=MAX_PACKET_BYTES).contains(&datagram.len()) {
            return Err(WireError::Size);
        }
        let (content, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if !self.is_genuine(content, tag) {
            return Err(WireError::Forged);
        }
        let (packet, rest) =
            postcard::take_from_bytes::<WirePacket>(content).map_err(|_| WireError::Malformed)?;
        if !rest.is_empty() {
            return Err(WireError::Malformed);
        }
        Packet::try_from(packet)
    }

    /// Compares in constant time, by widening the tag into a hash.
    fn is_genuine(&self, content: &[u8], tag: &[u8]) -> bool {
        let expected = blake3::keyed_hash(&self.key, content);
        let mut given = *expected.as_bytes();
        given[..TAG_BYTES].copy_from_slice(tag);
        expected == blake3::Hash::from_bytes(given)
    }
}
