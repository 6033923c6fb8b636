//! Accepted connections whose first request has not been read.
//!
//! A balancer may send a router more connections than its processor can read requests from. Those that wait are kept
//! here and not in the operating system's queue, so that the wait is known. A connection that has waited for too
//! long is turned away, which costs little: its caller can still be served on time by another router.

use std::{collections::VecDeque, time::Duration};

/// Wait after which a connection is turned away: the caller still reaches another router well within the shortest
/// usual objective.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Connections that are started in one turn, so that the requests under way go on in between.
const STARTED_PER_TURN: usize = 16;
/// Fraction of the counted connections that decays per update; the mean age of one is five updates.
const DECAY: f64 = 0.2;
/// Maximum number of connections that one started connection stands for, so that the estimate of what a workspace
/// asks for does not hinge on a single request.
const MAX_PER_STARTED: f64 = 10.0;

/// Connections in the order in which they were accepted.
#[derive(Debug)]
pub struct Unread<C> {
    waiting: VecDeque<(C, Duration)>,
    /// Connections that were started, with exponential decay.
    started: f64,
    /// Connections that were turned away, with exponential decay.
    turned_away: f64,
}

impl<C> Default for Unread<C> {
    fn default() -> Self {
        Self {
            waiting: VecDeque::new(),
            started: 0.0,
            turned_away: 0.0,
        }
    }
}

impl<C> Unread<C> {
    /// Adds a connection that was accepted at `now`.
    pub fn push(&mut self, connection: C, now: Duration) {
        self.waiting.push_back((connection, now));
    }

    /// Whether no connection waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how long the next connection has waited, zero if none waits.
    #[must_use]
    pub fn wait(&self, now: Duration) -> Duration {
        self.waiting
            .front()
            .map_or(Duration::ZERO, |(_, accepted_at)| {
                now.saturating_sub(*accepted_at)
            })
    }

    /// Removes and returns the connections that have waited for too long.
    pub fn take_expired(&mut self, now: Duration) -> Vec<C> {
        let expired = self
            .waiting
            .partition_point(|(_, accepted_at)| now.saturating_sub(*accepted_at) > MAX_WAIT);
        self.turned_away += expired as f64;
        self.waiting
            .drain(..expired)
            .map(|(connection, _)| connection)
            .collect()
    }

    /// Returns the number of connections for each one that was started lately, at most ten: one if none is turned
    /// away. What their callers ask for is estimated by it.
    #[must_use]
    pub fn connections_per_started(&self) -> f64 {
        (1.0 + self.turned_away / self.started.max(1.0)).min(MAX_PER_STARTED)
    }

    /// Lets earlier connections count less. To be called at a fixed interval.
    pub fn decay(&mut self) {
        self.started *= 1.0 - DECAY;
        self.turned_away *= 1.0 - DECAY;
    }

    /// Removes and returns the connections to start in one turn.
    pub fn take_turn(&mut self) -> Vec<C> {
        let count = self.waiting.len().min(STARTED_PER_TURN);
        self.take(count)
    }

    /// Removes and returns all connections.
    pub fn take_all(&mut self) -> Vec<C> {
        self.take(self.waiting.len())
    }

    fn take(&mut self, count: usize) -> Vec<C> {
        self.started += count as f64;
        self.waiting
            .drain(..count)
            .map(|(connection, _)| connection)
            .collect()
    }
}
