//! Which requests an overloaded router refuses unread, by workspace.
//!
//! The callers of some workspaces reach many routers, those of others only a few. If a router refused the same
//! fraction of everyone's requests, a flood would take its time from the other workspaces there. So the requests
//! that it has time for are divided by max-min fairness: workspaces that send less than an even part are not
//! refused at all.

use {crate::Overload, baobab_unit::WorkspaceId, std::collections::HashMap};

/// Fraction of the counted requests that decays per update; the mean age of a request is ten updates.
const DECAY_PER_UPDATE: f64 = 0.1;
/// Counted requests below which a workspace is forgotten.
const MIN_REQUESTS: f64 = 0.05;
/// Served fraction of what a workspace is owed below which its part grows no further. The fraction is a mean over
/// seconds, so that a flood that has just begun seems far behind.
const MIN_SERVED_FRACTION: f64 = 0.5;

/// A request that arrives.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Workspace of its caller.
    pub workspace: WorkspaceId,
    /// Whether its caller was refused before, so that the response will be late.
    pub is_late: bool,
    /// Whether its workspace requests less than its share over all routers, or is behind what it is owed.
    pub is_owed: bool,
    /// What its workspace is served over all routers, as a fraction of what it is owed.
    pub served_fraction: f64,
}

/// Requests of one workspace, with exponential decay.
#[derive(Debug)]
struct Demand {
    /// Requests that may be refused.
    requests: f64,
    /// Late requests, which are refused only at a high delay.
    late_requests: f64,
    /// What the workspace gets over all routers, as a fraction of what it is owed.
    served_fraction: f64,
    /// Fraction of the requests that is taken.
    taken_fraction: f64,
}

impl Demand {
    fn total(&self) -> f64 {
        self.requests + self.late_requests
    }

    fn weight(&self) -> f64 {
        1.0 / self.served_fraction.clamp(MIN_SERVED_FRACTION, 1.0)
    }
}

/// Divides the requests that a router has time for among the workspaces whose callers reach it.
#[derive(Debug, Default)]
pub struct Shedding {
    demands: HashMap<WorkspaceId, Demand>,
}

impl Shedding {
    /// Counts a request that arrives. Returns whether it is refused; `random_fraction` in `0.0..1.0` chooses which
    /// of a workspace's requests are. Without `can_shed`, they are refused only at a high delay of the router.
    pub fn refuses(
        &mut self,
        arrival: Arrival,
        overload: &Overload,
        can_shed: bool,
        random_fraction: f64,
    ) -> bool {
        let demand = self.demands.entry(arrival.workspace).or_insert(Demand {
            requests: 0.0,
            late_requests: 0.0,
            served_fraction: arrival.served_fraction,
            taken_fraction: 1.0,
        });
        if arrival.is_late {
            demand.late_requests += 1.0;
        } else {
            demand.requests += 1.0;
        }
        demand.served_fraction = arrival.served_fraction;
        let is_shed = can_shed && !arrival.is_late && random_fraction >= demand.taken_fraction;
        is_shed || overload.refuses(demand.taken_fraction < 1.0, arrival.is_owed)
    }

    /// Returns the fraction of a workspace's requests that is taken.
    #[must_use]
    pub fn taken_fraction(&self, workspace: WorkspaceId) -> f64 {
        self.demands
            .get(&workspace)
            .map_or(1.0, |demand| demand.taken_fraction)
    }

    /// Divides anew. `shed_fraction` is the fraction of all requests that the router has no time for.
    pub fn update(&mut self, shed_fraction: f64) {
        let mut remaining: f64 = self
            .demands
            .values()
            .map(|demand| demand.requests * (1.0 - shed_fraction) + demand.late_requests)
            .sum();
        let mut remaining_weight: f64 = self.demands.values().map(Demand::weight).sum();
        let mut demands: Vec<&mut Demand> = self.demands.values_mut().collect();
        demands.sort_unstable_by(|left, right| {
            let need = |demand: &Demand| demand.total() / demand.weight();
            need(left).total_cmp(&need(right))
        });
        for demand in demands {
            let weight = demand.weight();
            let part = (remaining * weight / remaining_weight).min(demand.total());
            remaining -= part;
            remaining_weight -= weight;
            demand.taken_fraction = if shed_fraction > 0.0 && demand.requests > 0.0 {
                ((part - demand.late_requests) / demand.requests).clamp(0.0, 1.0)
            } else {
                1.0
            };
            demand.requests *= 1.0 - DECAY_PER_UPDATE;
            demand.late_requests *= 1.0 - DECAY_PER_UPDATE;
        }
        self.demands
            .retain(|_, demand| demand.total() >= MIN_REQUESTS);
    }
}
