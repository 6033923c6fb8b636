//! The order in which workspaces receive free slots.

use {
    baobab_unit::{HostId, PoolId, WorkspaceId},
    std::{
        cmp::{Ordering, Reverse},
        collections::BinaryHeap,
    },
};

/// Requests of a workspace that wait on one router, less the grants in flight to it.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// The router.
    pub router: HostId,
    /// The pool whose dispatcher published the requests, unless it is the granting one.
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

/// A workspace with waiting requests.
#[derive(Debug, Clone)]
pub struct Candidate {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// Weight of the workspace.
    pub weight: f64,
    /// Projected service plus lift, over weight, in tokens.
    pub position: f64,
    /// Service received plus lift, over weight, in tokens.
    pub received: f64,
    /// Service received plus lift, less the lead allowance, over weight, in tokens.
    pub received_less_allowance: f64,
    /// Its waiting requests by router.
    pub offers: Vec<Offer>,
}

/// The offer that receives a slot.
#[derive(Debug, Clone, Copy)]
pub struct Choice {
    /// Index of the candidate.
    pub candidate: usize,
    /// Index of the candidate's offer.
    pub offer: usize,
    /// Whether only a request of the most urgent class may use the slot.
    pub urgent_only: bool,
}

/// The candidates of one round of grants.
#[derive(Debug, Default)]
pub struct Ranking {
    /// Every workspace with waiting requests, sorted by identifier.
    pub candidates: Vec<Candidate>,
    /// Advantage of an urgent request, in tokens over weight.
    pub urgent_credit: f64,
    /// Advantage of a local request over a remote one, in tokens over weight.
    pub locality_credit: f64,
}

impl Ranking {
    /// Returns the position of the candidate that is furthest behind.
    #[must_use]
    pub fn min_position(&self) -> Option<f64> {
        self.candidates
            .iter()
            .map(|candidate| candidate.position)
            .min_by(f64::total_cmp)
    }

    /// Returns the candidates as a priority queue; with `urgent_only`, only those that may use the
    /// slots reserved for urgent requests.
    #[must_use]
    pub fn grant_queue(&self, urgent_only: bool) -> GrantQueue {
        let mut queue = GrantQueue {
            heap: BinaryHeap::with_capacity(self.candidates.len()),
            urgent_only,
            max_position: f64::INFINITY,
        };
        if let (true, Some(min_position)) = (urgent_only, self.min_position()) {
            queue.max_position = min_position + self.urgent_credit;
        }
        for index in 0..self.candidates.len() {
            self.push_best(&mut queue, index);
        }
        queue
    }

    /// Removes one request from the chosen offer, charges `tokens` to its workspace and queues the
    /// workspace's next offer.
    pub fn charge(&mut self, queue: &mut GrantQueue, choice: Choice, tokens: f64) {
        let candidate = &mut self.candidates[choice.candidate];
        candidate.position += tokens / candidate.weight;
        let offer = &mut candidate.offers[choice.offer];
        if offer.urgent > 0 {
            offer.urgent -= 1;
        } else {
            offer.other = offer.other.saturating_sub(1);
        }
        self.push_best(queue, choice.candidate);
    }

    fn push_best(&self, queue: &mut GrantQueue, index: usize) {
        let candidate = &self.candidates[index];
        if candidate.position > queue.max_position {
            return;
        }
        queue.heap.extend(
            self.best_offer(index, candidate, queue.urgent_only)
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

/// Priority queue of the candidates in one round of grants.
#[derive(Debug)]
pub struct GrantQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    urgent_only: bool,
    max_position: f64,
}

impl GrantQueue {
    /// Removes and returns the offer that receives the next slot.
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
