//! The queue of requests that wait for a slot on this router.

use {
    super::{QueueReason, QueuedRequest, StreamId},
    baobab_unit::{ModelId, WorkspaceId, to_u32},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Requests of one rank, from the front, that are searched for a cached prefix.
const PREFIX_SEARCH_DEPTH: usize = 8;
/// Weight of the newest interval in the moving average of a workspace's departure interval.
const DEPARTURE_INTERVAL_GAIN: f64 = 0.2;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_mins(2);

/// Numbers of waiting requests by urgency class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WaitingCounts {
    /// Requests of the most urgent class.
    pub urgent: u32,
    /// Requests of all other classes.
    pub other: u32,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    by_rank: BTreeMap<u8, VecDeque<QueuedRequest>>,
}

#[derive(Debug, Default)]
struct WorkspaceStats {
    waiting: u32,
    last_departure: Option<Duration>,
    departure_interval_s: f64,
}

/// All waiting requests by model, workspace and rank.
#[derive(Debug, Default)]
pub struct Queue {
    queues: BTreeMap<(ModelId, WorkspaceId), WorkspaceQueue>,
    stats: BTreeMap<WorkspaceId, WorkspaceStats>,
}

impl Queue {
    /// Adds a request: a new one at the back of its class, any other at the front.
    pub fn push(&mut self, request: QueuedRequest) {
        self.stats.entry(request.workspace).or_default().waiting += 1;
        let requests = self
            .queues
            .entry((request.model, request.workspace))
            .or_default()
            .by_rank
            .entry(request.rank)
            .or_default();
        if request.reason == QueueReason::New {
            requests.push_back(request);
        } else {
            requests.push_front(request);
        }
    }

    /// Removes the request that gets a slot: from the most urgent class, the first one near the
    /// front whose prompt prefix the engine has cached, or else the one at the front.
    pub fn pop(
        &mut self,
        now: Duration,
        model: ModelId,
        workspace: WorkspaceId,
        urgent_only: bool,
        is_cached: impl Fn(u32) -> bool,
    ) -> Option<QueuedRequest> {
        let workspace_queue = self.queues.get_mut(&(model, workspace))?;
        let (rank, requests) = workspace_queue
            .by_rank
            .iter_mut()
            .find(|(_, requests)| !requests.is_empty())?;
        if urgent_only && *rank > 0 {
            return None;
        }
        let index = requests
            .iter()
            .take(PREFIX_SEARCH_DEPTH)
            .position(|request| is_cached(request.prefix))
            .unwrap_or(0);
        let request = requests.remove(index)?;
        self.record_departure(now, workspace);
        Some(request)
    }

    /// Removes a request by its identifier.
    pub fn remove(&mut self, id: StreamId) -> Option<QueuedRequest> {
        for workspace_queue in self.queues.values_mut() {
            for requests in workspace_queue.by_rank.values_mut() {
                if let Some(index) = requests.iter().position(|request| request.id == id) {
                    let request = requests.remove(index)?;
                    if let Some(workspace_stats) = self.stats.get_mut(&request.workspace) {
                        workspace_stats.waiting -= 1;
                    }
                    return Some(request);
                }
            }
        }
        None
    }

    /// Removes and returns every request of a model or workspace that is no longer declared.
    pub fn remove_undeclared(
        &mut self,
        is_declared: impl Fn(ModelId, WorkspaceId) -> bool,
    ) -> Vec<QueuedRequest> {
        let removed: Vec<_> = self
            .queues
            .extract_if(.., |(model, workspace), _| !is_declared(*model, *workspace))
            .collect();
        let requests: Vec<QueuedRequest> = removed
            .into_iter()
            .flat_map(|(_, workspace_queue)| workspace_queue.by_rank.into_values().flatten())
            .collect();
        for request in &requests {
            if let Some(workspace_stats) = self.stats.get_mut(&request.workspace) {
                workspace_stats.waiting -= 1;
            }
        }
        requests
    }

    /// Returns the numbers of waiting requests of a model by workspace.
    pub fn counts(
        &self,
        model: ModelId,
    ) -> impl Iterator<Item = (WorkspaceId, WaitingCounts)> + '_ {
        self.queues
            .range((model, WorkspaceId::MIN)..=(model, WorkspaceId::MAX))
            .map(|((_, workspace), workspace_queue)| (*workspace, workspace_queue.counts()))
    }

    /// Returns the number of waiting requests of a workspace, over all models.
    pub fn waiting_of(&self, workspace: WorkspaceId) -> u32 {
        self.stats
            .get(&workspace)
            .map_or(0, |workspace_stats| workspace_stats.waiting)
    }

    /// Returns the number of all waiting requests.
    pub fn waiting(&self) -> u32 {
        self.stats
            .values()
            .map(|workspace_stats| workspace_stats.waiting)
            .sum()
    }

    /// Returns the time after which a refused request of a workspace may expect a place in the
    /// queue, estimated from the average interval at which its requests are dispatched.
    pub fn retry_after(&self, workspace: WorkspaceId) -> Duration {
        let Some(workspace_stats) = self.stats.get(&workspace) else {
            return MIN_RETRY_AFTER;
        };
        // Half of the queue must drain to leave capacity for callers that retry.
        let seconds =
            workspace_stats.departure_interval_s * f64::from(workspace_stats.waiting) / 2.0;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_RETRY_AFTER)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    fn record_departure(&mut self, now: Duration, workspace: WorkspaceId) {
        let workspace_stats = self.stats.entry(workspace).or_default();
        workspace_stats.waiting -= 1;
        if let Some(last) = workspace_stats.last_departure {
            let departure_interval_s = now.saturating_sub(last).as_secs_f64();
            workspace_stats.departure_interval_s += (departure_interval_s
                - workspace_stats.departure_interval_s)
                * DEPARTURE_INTERVAL_GAIN;
        }
        workspace_stats.last_departure = Some(now);
    }
}

impl WorkspaceQueue {
    fn counts(&self) -> WaitingCounts {
        let mut counts = WaitingCounts::default();
        for (rank, requests) in &self.by_rank {
            let count = to_u32(requests.len());
            if *rank == 0 {
                counts.urgent += count;
            } else {
                counts.other += count;
            }
        }
        counts
    }
}
