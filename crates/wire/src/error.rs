//! Why a datagram was dropped.

use quick_error::quick_error;

quick_error! {
    /// Why a datagram was dropped.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum WireError {
        /// Too short to hold a tag, or too long.
        Size {
            display("the datagram's size is out of bounds")
        }
        /// The tag doesn't fit the content and the fleet's key.
        Forged {
            display("the datagram's tag is wrong")
        }
        /// The content is not a packet.
        Malformed {
            display("the datagram's content is malformed")
        }
        /// A value is out of its bounds.
        OutOfBounds {
            display("a value in the datagram is out of bounds")
        }
        /// Sent by an earlier run of its sender.
        OldIncarnation {
            display("the datagram is from an earlier run of its sender")
        }
        /// Received before, or too old to tell.
        Replayed {
            display("the datagram was received before")
        }
    }
}

impl WireError {
    /// Returns the reason's name in metrics.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Size => "size",
            Self::Forged => "forged",
            Self::Malformed => "malformed",
            Self::OutOfBounds => "out_of_bounds",
            Self::OldIncarnation => "old_incarnation",
            Self::Replayed => "replayed",
        }
    }
}
