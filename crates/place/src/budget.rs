//! How many requests a router may send more than once.

use std::{collections::VecDeque, time::Duration};

/// Number of pieces that the window is divided into.
const PIECES: u32 = 20;

#[derive(Debug, Default, Clone, Copy)]
struct Piece {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// This router's part of the fleet's allowance for repeats of one service.
///
/// The allowance is `ratio` times the requests of a sliding window plus a fixed count that all
/// routers divide among themselves, so that no router has to ask another.
#[derive(Debug)]
pub struct RetryBudget {
    piece: Duration,
    pieces: VecDeque<Piece>,
}

impl RetryBudget {
    /// Starts an empty window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            piece: window / PIECES,
            pieces: VecDeque::new(),
        }
    }

    /// Counts a caller's request.
    pub fn on_request(&mut self, now: Duration) {
        self.piece_at(now).requests += 1;
    }

    /// Takes one repeat from the budget. Returns false where nothing is left.
    pub fn try_retry(&mut self, ratio: f64, fixed: f64, now: Duration) -> bool {
        self.piece_at(now);
        let requests: u32 = self.pieces.iter().map(|piece| piece.requests).sum();
        let repeats: u32 = self.pieces.iter().map(|piece| piece.repeats).sum();
        let allowed = ratio * f64::from(requests) + fixed;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.piece_at(now).repeats += 1;
        true
    }

    fn piece_at(&mut self, now: Duration) -> &mut Piece {
        let index =
            u64::try_from(now.as_nanos() / self.piece.as_nanos().max(1)).unwrap_or(u64::MAX);
        while self
            .pieces
            .front()
            .is_some_and(|piece| piece.index + u64::from(PIECES) < index)
        {
            self.pieces.pop_front();
        }
        if self.pieces.back().is_none_or(|piece| piece.index < index) {
            self.pieces.push_back(Piece {
                index,
                ..Piece::default()
            });
        }
        let last = self.pieces.len() - 1;
        &mut self.pieces[last]
    }
}
