//! Duplicate detection of numbered messages by a sliding window.

use crate::Sequence;

const MASK_BITS: u64 = 64;

/// The highest number received and a bit mask of which of the 64 numbers before it were received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Window {
    /// Highest number received; 0 if none.
    pub highest: Sequence,
    /// Bit `n` is set if `highest - 1 - n` was received.
    pub mask: u64,
}

impl Window {
    /// Records a number as received. Returns whether it is new; numbers older than the window count
    /// as received before.
    pub fn accept(&mut self, number: Sequence) -> bool {
        if number > self.highest {
            self.advance(number);
            return true;
        }
        let Some(bit) = self.bit(number) else {
            return false;
        };
        let is_new = self.mask & bit == 0;
        self.mask |= bit;
        is_new
    }

    /// Returns whether a number was received. Numbers older than the window count as received.
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
