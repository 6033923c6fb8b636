//! Authenticates datagrams with a keyed hash, so that those of strangers are dropped.

use {
    super::message::{GossipMessage, WireGossipMessage},
    baobab_unit::{HostId, Incarnation, Sequence},
    quick_error::quick_error,
    serde::{Deserialize, Serialize},
};

/// Key of the hash in one router's datagrams.
pub type PeerKey = [u8; 32];

const TAG_BYTES: usize = 8;

quick_error! {
    /// Why a datagram was dropped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum SealError {
        /// It cannot be decoded.
        Malformed {
            display("malformed")
        }
        /// The sender is not in the peer directory, or another run of it is.
        UnknownSender {
            display("unknown sender")
        }
        /// The hash is wrong.
        Forged {
            display("wrong hash")
        }
        /// It was received before, or is too old for the replay window.
        Replayed {
            display("replayed")
        }
    }
}

/// Sender and number of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The sending host.
    pub host: HostId,
    /// Run of the sending process.
    pub incarnation: Incarnation,
    /// Number of the datagram within the run.
    pub number: Sequence,
}

#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    sender: Sender,
    news: WireGossipMessage,
}

/// Encodes a message and appends its hash under the sender's key.
#[must_use]
pub fn seal(sender: Sender, message: &GossipMessage, key: &PeerKey) -> Vec<u8> {
    let envelope = Envelope {
        sender,
        news: WireGossipMessage::from(message),
    };
    let mut bytes = postcard::to_stdvec(&envelope).unwrap_or_default();
    let tag = tag(key, &bytes);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Verifies and decodes a datagram. `key_of` returns the key of a known sender.
///
/// # Errors
///
/// Fails if the datagram is malformed, its sender unknown or its hash wrong.
pub fn open(
    bytes: &[u8],
    key_of: impl Fn(Sender) -> Option<PeerKey>,
) -> Result<(Sender, GossipMessage), SealError> {
    let body_bytes = bytes
        .len()
        .checked_sub(TAG_BYTES)
        .ok_or(SealError::Malformed)?;
    let (body, received_tag) = bytes.split_at(body_bytes);
    let envelope: Envelope = postcard::from_bytes(body).map_err(|_| SealError::Malformed)?;
    let key = key_of(envelope.sender).ok_or(SealError::UnknownSender)?;
    if tag(&key, body) != received_tag {
        return Err(SealError::Forged);
    }
    Ok((envelope.sender, GossipMessage::from(envelope.news)))
}

fn tag(key: &PeerKey, body: &[u8]) -> [u8; TAG_BYTES] {
    let digest = blake3::keyed_hash(key, body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest.as_bytes()[..TAG_BYTES]);
    tag
}
