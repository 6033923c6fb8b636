//! Encoding of packets, authenticated by a keyed hash.

use {
    crate::{Message, WireError, wire_message::WireMessage},
    baobab_unit::{HostId, Incarnation, Sequence},
    serde::{Deserialize, Serialize},
};

/// Secret key shared by the routers of a fleet.
pub type FleetKey = [u8; 32];

const TAG_BYTES: usize = 16;
/// Maximum size of a packet; datagrams are further limited by the socket.
const MAX_PACKET_BYTES: usize = 4 * 1024 * 1024;

/// Content of one datagram or TCP message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Packet {
    /// The sending host.
    pub sender: HostId,
    /// The intended receiver.
    pub receiver: HostId,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// Sequence number within the sender's run and this receiver, from one.
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

/// Encodes and decodes packets with a fleet's key.
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
    /// Creates a codec with the key.
    #[must_use]
    pub fn new(key: FleetKey) -> Self {
        Self { key }
    }

    /// Encodes a packet: its content, then the tag.
    ///
    /// # Errors
    ///
    /// Fails if the packet can't be serialised or exceeds 4 MiB.
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
    /// Fails if the size, the tag or the content is invalid, or a value is out of bounds.
    pub fn decode(&self, datagram: &[u8]) -> Result<Packet, WireError> {
        if !(TAG_BYTES..=MAX_PACKET_BYTES).contains(&datagram.len()) {
            return Err(WireError::Size);
        }
        let (content, tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        if !self.is_tag_valid(content, tag) {
            return Err(WireError::Forged);
        }
        let (packet, trailing) =
            postcard::take_from_bytes::<WirePacket>(content).map_err(|_| WireError::Malformed)?;
        if !trailing.is_empty() {
            return Err(WireError::Malformed);
        }
        Packet::try_from(packet)
    }

    /// Returns whether the tag is valid. Extends the tag to a full hash, because comparison of
    /// hashes takes constant time.
    fn is_tag_valid(&self, content: &[u8], tag: &[u8]) -> bool {
        let expected = blake3::keyed_hash(&self.key, content);
        let mut received = *expected.as_bytes();
        received[..TAG_BYTES].copy_from_slice(tag);
        expected == blake3::Hash::from_bytes(received)
    }
}
