//! Datagrams with a keyed hash, so that a stranger's are dropped.

use {
    super::message::{News, WireNews},
    baobab_unit::{HostId, Incarnation, Sequence},
    quick_error::quick_error,
    serde::{Deserialize, Serialize},
};

/// Key of one router's datagrams.
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
        /// Its sender is not known.
        Stranger {
            display("unknown sender")
        }
        /// Its hash is wrong.
        Forged {
            display("wrong hash")
        }
        /// It was received before, or is from an earlier run of its sender.
        Replayed {
            display("replayed")
        }
    }
}

/// Who sent a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The sending host.
    pub host: HostId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// Number of the datagram within the run.
    pub number: Sequence,
}

#[derive(Debug, Serialize, Deserialize)]
struct Envelope {
    sender: Sender,
    news: WireNews,
}

/// Encodes news under the sender's key.
#[must_use]
pub fn seal(sender: Sender, news: &News, key: &PeerKey) -> Vec<u8> {
    let envelope = Envelope {
        sender,
        news: WireNews::from(news),
    };
    let mut bytes = postcard::to_stdvec(&envelope).unwrap_or_default();
    let tag = tag(key, &bytes);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Decodes a datagram. `key_of` returns the key of a known sender.
///
/// # Errors
///
/// Fails where the datagram is malformed, its sender unknown or its hash wrong.
pub fn open(
    bytes: &[u8],
    key_of: impl Fn(Sender) -> Option<PeerKey>,
) -> Result<(Sender, News), SealError> {
    let body_bytes = bytes
        .len()
        .checked_sub(TAG_BYTES)
        .ok_or(SealError::Malformed)?;
    let (body, received_tag) = bytes.split_at(body_bytes);
    let envelope: Envelope = postcard::from_bytes(body).map_err(|_| SealError::Malformed)?;
    let key = key_of(envelope.sender).ok_or(SealError::Stranger)?;
    if tag(&key, body) != received_tag {
        return Err(SealError::Forged);
    }
    Ok((envelope.sender, News::from(envelope.news)))
}

fn tag(key: &PeerKey, body: &[u8]) -> [u8; TAG_BYTES] {
    let digest = blake3::keyed_hash(key, body);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&digest.as_bytes()[..TAG_BYTES]);
    tag
}
