//! The order in which workspaces receive free slots.

use {
    baobab_unit::{HostId, PoolId, WorkspaceId},
    std::{
        cmp::{Ordering, Reverse},
        collections::BinaryHeap,
    },
};

/// Requests that wait on one router, less the grants under way to it.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// The router.
    pub router: HostId,
    /// The pool whose dispatcher told of them, where that isn't the granting one.
    pub remote: Option<PoolId>,
    /// Waiting requests of the most urgent class.
    pub urgent: u32,
    /// Waiting requests of the other classes.
    pub other: u32,
}

impl Offer {
    fn available(&self, urgent_only: bool) -> u32 {
        if urgent_only {
            self.urgent
        } else {
            self.urgent + self.other
        }
    }
}

/// A workspace that has requests waiting.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Its weight.
    pub weight: f64,
    /// Projected service over weight, in tokens.
    pub position: f64,
    /// Service received over weight, in tokens.
    pub received: f64,
    /// Service received over weight, less what a few requests of its own make up, in tokens.
    pub served: f64,
    /// Where its requests wait.
    pub offers: Vec<Offer>,
}

/// Which offer receives a slot.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// Index of the candidate.
    pub candidate: usize,
    /// Index of its offer.
    pub offer: usize,
    /// Whether only a request of the most urgent class may use the slot.
    pub urgent_only: bool,
}

/// The candidates of one round of grants.
#[derive(Debug, Default)]
pub struct Ranking {
    /// Every workspace with waiting requests, in the order of their identifiers.
    pub candidates: Vec<Candidate>,
    /// Tokens over weight that an urgent request may go ahead.
    pub urgent_credit: f64,
    /// Tokens over weight that a local request may go ahead of a remote one.
    pub locality_credit: f64,
}

impl Ranking {
    /// Returns the lowest position, the one that is furthest behind.
    #[must_use]
    pub fn lowest(&self) -> Option<f64> {
        self.candidates
            .iter()
            .map(|candidate| candidate.position)
            .min_by(f64::total_cmp)
    }

    /// Puts the candidates in order for grants; with `urgent_only`, just those that may use the
    /// slots kept for urgent requests.
    #[must_use]
    pub fn order(&self, urgent_only: bool) -> Order {
        let mut order = Order {
            heap: BinaryHeap::with_capacity(self.candidates.len()),
            urgent_only,
            limit: f64::INFINITY,
        };
        if let (true, Some(lowest)) = (urgent_only, self.lowest()) {
            order.limit = lowest + self.urgent_credit;
        }
        for index in 0..self.candidates.len() {
            self.queue(&mut order, index);
        }
        order
    }

    /// Takes one request out of the chosen offer and charges `tokens` for it.
    pub fn take(&mut self, order: &mut Order, choice: Choice, tokens: f64) {
        let candidate = &mut self.candidates[choice.candidate];
        candidate.position += tokens / candidate.weight;
        let offer = &mut candidate.offers[choice.offer];
        if offer.urgent > 0 {
            offer.urgent -= 1;
        } else {
            offer.other = offer.other.saturating_sub(1);
        }
        self.queue(order, choice.candidate);
    }

    fn queue(&self, order: &mut Order, index: usize) {
        let candidate = &self.candidates[index];
        if candidate.position > order.limit {
            return;
        }
        order.heap.extend(
            self.best_offer(index, candidate, order.urgent_only)
                .map(Reverse),
        );
    }

    fn best_offer(&self, index: usize, candidate: &Candidate, urgent_only: bool) -> Option<Entry> {
        let (offer_index, offer) = candidate
            .offers
            .iter()
            .enumerate()
            .filter(|(_, offer)| offer.available(urgent_only) > 0)
            .max_by_key(|(_, offer)| {
                (
                    offer.urgent > 0,
                    offer.remote.is_none(),
                    offer.available(urgent_only),
                )
            })?;
        let mut key = candidate.position;
        if offer.urgent > 0 {
            key -= self.urgent_credit;
        }
        if offer.remote.is_some() {
            key += self.locality_credit;
        }
        let choice = Choice {
            candidate: index,
            offer: offer_index,
            urgent_only,
        };
        Some(Entry { key, choice })
    }
}

/// The order of the candidates, kept while slots are given.
#[derive(Debug)]
pub struct Order {
    heap: BinaryHeap<Reverse<Entry>>,
    urgent_only: bool,
    limit: f64,
}

impl Order {
    /// Takes out who receives the next slot.
    pub fn pop(&mut self) -> Option<Choice> {
        self.heap.pop().map(|Reverse(entry)| entry.choice)
    }
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    key: f64,
    choice: Choice,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_key = self.key.total_cmp(&other.key);
        by_key.then(self.choice.candidate.cmp(&other.choice.candidate))
    }
}
