//! Requests that wait on this router.

use {
    super::{Arrival, Origin, StreamId},
    baobab_unit::{ModelId, WorkspaceId, to_u32},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Requests of one rank that are looked at for a cached prefix.
const PREFIX_REACH: usize = 8;
/// Weight of the newest departure in a workspace's pace.
const PACE_GAIN: f64 = 0.2;
const SHORTEST_RETRY_AFTER: Duration = Duration::from_secs(1);
const LONGEST_RETRY_AFTER: Duration = Duration::from_mins(2);

/// Waiting requests by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Of the most urgent class.
    pub urgent: u32,
    /// Of the other classes.
    pub other: u32,
}

#[derive(Debug, Default)]
struct Lane {
    ranks: BTreeMap<u8, VecDeque<Arrival>>,
}

#[derive(Debug, Default)]
struct Pace {
    waiting: u32,
    last_departure: Option<Duration>,
    spacing_s: f64,
}

/// All waiting requests.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<(ModelId, WorkspaceId), Lane>,
    paces: BTreeMap<WorkspaceId, Pace>,
}

impl Queue {
    /// Adds a request: at the back of its class, or at the front where it waits again.
    pub fn push(&mut self, arrival: Arrival) {
        self.paces.entry(arrival.workspace).or_default().waiting += 1;
        let line = self
            .lanes
            .entry((arrival.model, arrival.workspace))
            .or_default()
            .ranks
            .entry(arrival.rank)
            .or_default();
        if arrival.origin == Origin::New {
            line.push_back(arrival);
        } else {
            line.push_front(arrival);
        }
    }

    /// Takes the request that a slot should go to: the most urgent class first, and within it one
    /// whose prompt starts with a prefix that the engine has cached, if one stands near the front.
    pub fn pop(
        &mut self,
        now: Duration,
        model: ModelId,
        workspace: WorkspaceId,
        urgent_only: bool,
        is_cached: impl Fn(u32) -> bool,
    ) -> Option<Arrival> {
        let lane = self.lanes.get_mut(&(model, workspace))?;
        let (rank, requests) = lane
            .ranks
            .iter_mut()
            .find(|(_, requests)| !requests.is_empty())?;
        if urgent_only && *rank > 0 {
            return None;
        }
        let index = requests
            .iter()
            .take(PREFIX_REACH)
            .position(|arrival| is_cached(arrival.prefix))
            .unwrap_or(0);
        let arrival = requests.remove(index)?;
        self.depart(now, workspace);
        Some(arrival)
    }

    /// Removes a request whose caller has gone.
    pub fn remove(&mut self, id: StreamId) -> Option<Arrival> {
        for lane in self.lanes.values_mut() {
            for line in lane.ranks.values_mut() {
                if let Some(index) = line.iter().position(|arrival| arrival.id == id) {
                    let arrival = line.remove(index)?;
                    if let Some(pace) = self.paces.get_mut(&arrival.workspace) {
                        pace.waiting -= 1;
                    }
                    return Some(arrival);
                }
            }
        }
        None
    }

    /// Takes out every request of a model or workspace that is no longer declared.
    pub fn take_undeclared(&mut self, keep: impl Fn(ModelId, WorkspaceId) -> bool) -> Vec<Arrival> {
        let gone: Vec<_> = self
            .lanes
            .extract_if(.., |(model, workspace), _| !keep(*model, *workspace))
            .collect();
        let arrivals: Vec<Arrival> = gone
            .into_iter()
            .flat_map(|(_, lane)| lane.ranks.into_values().flatten())
            .collect();
        for arrival in &arrivals {
            if let Some(pace) = self.paces.get_mut(&arrival.workspace) {
                pace.waiting -= 1;
            }
        }
        arrivals
    }

    /// Returns the waiting requests of a model by workspace.
    pub fn counts(&self, model: ModelId) -> impl Iterator<Item = (WorkspaceId, Counts)> + '_ {
        self.lanes
            .range((model, WorkspaceId::MIN)..=(model, WorkspaceId::MAX))
            .map(|((_, workspace), lane)| (*workspace, lane.counts()))
    }

    /// Returns the waiting requests of a workspace.
    pub fn waiting_of(&self, workspace: WorkspaceId) -> u32 {
        self.paces.get(&workspace).map_or(0, |pace| pace.waiting)
    }

    /// Returns all waiting requests.
    pub fn waiting(&self) -> u32 {
        self.paces.values().map(|pace| pace.waiting).sum()
    }

    /// Returns when a refused request of a workspace may expect a place, from how fast its
    /// requests have been leaving.
    pub fn retry_after(&self, workspace: WorkspaceId) -> Duration {
        let Some(pace) = self.paces.get(&workspace) else {
            return SHORTEST_RETRY_AFTER;
        };
        // Half of the queue gone leaves room for those who come back.
        let seconds = pace.spacing_s * f64::from(pace.waiting) / 2.0;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(LONGEST_RETRY_AFTER)
            .clamp(SHORTEST_RETRY_AFTER, LONGEST_RETRY_AFTER)
    }

    fn depart(&mut self, now: Duration, workspace: WorkspaceId) {
        let pace = self.paces.entry(workspace).or_default();
        pace.waiting -= 1;
        if let Some(last) = pace.last_departure {
            let spacing_s = now.saturating_sub(last).as_secs_f64();
            pace.spacing_s += (spacing_s - pace.spacing_s) * PACE_GAIN;
        }
        pace.last_departure = Some(now);
    }
}

impl Lane {
    fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for (rank, line) in &self.ranks {
            let count = to_u32(line.len());
            if *rank == 0 {
                counts.urgent += count;
            } else {
                counts.other += count;
            }
        }
        counts
    }
}
