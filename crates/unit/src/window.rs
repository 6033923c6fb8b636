//! Which numbered messages have been received.

use crate::Sequence;

const MASK_BITS: u64 = 64;

/// The highest number received and, as bits, which of the 64 before it were.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    /// Highest number received; zero for none.
    pub highest: Sequence,
    /// Bit `n` tells whether `highest - 1 - n` was received.
    pub mask: u64,
}

impl Window {
    /// Takes a number in. Returns false where it was received before or is too old to tell.
    pub fn accept(&mut self, number: Sequence) -> bool {
        if number > self.highest {
            self.advance(number);
            return true;
        }
        let Some(bit) = self.bit(number) else {
            return false;
        };
        let fresh = self.mask & bit == 0;
        self.mask |= bit;
        fresh
    }

    /// Tells whether a number was received. Numbers older than the window count as received.
    #[must_use]
    pub fn contains(&self, number: Sequence) -> bool {
        if number > self.highest {
            return false;
        }
        if number == self.highest || self.highest - number > MASK_BITS {
            return true;
        }
        self.bit(number).is_some_and(|bit| self.mask & bit != 0)
    }

    fn advance(&mut self, number: Sequence) {
        let step = number - self.highest;
        let shifted = if step >= MASK_BITS {
            0
        } else {
            self.mask << step
        };
        let previous = match self.highest {
            0 => 0,
            _ if step > MASK_BITS => 0,
            _ => 1 << (step - 1),
        };
        self.mask = shifted | previous;
        self.highest = number;
    }

    fn bit(&self, number: Sequence) -> Option<u64> {
        let distance = self.highest - number;
        (1..=MASK_BITS)
            .contains(&distance)
            .then(|| 1 << (distance - 1))
    }
}
