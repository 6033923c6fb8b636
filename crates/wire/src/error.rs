//! Reasons for rejecting a datagram.

use quick_error::quick_error;

quick_error! {
    /// Reason for rejecting a datagram.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum WireError {
        /// The datagram is shorter than a tag, or too long.
        Size {
            display("the datagram's size is out of bounds")
        }
        /// The tag doesn't match the content and the fleet's key.
        Forged {
            display("the datagram's tag is wrong")
        }
        /// The content is not a packet.
        Malformed {
            display("the datagram's content is malformed")
        }
        /// A value exceeds its bounds.
        OutOfBounds {
            display("a value in the datagram is out of bounds")
        }
        /// The datagram was sent by an earlier run of its sender.
        OldIncarnation {
            display("the datagram is from an earlier run of its sender")
        }
        /// The datagram was received before, or is older than the receive window.
        Replayed {
            display("the datagram was received before")
        }
    }
}

impl WireError {
    /// Returns the name of the reason in metrics.
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
