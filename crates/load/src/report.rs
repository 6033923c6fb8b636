//! Computes the report of a replay.

use {
    crate::{
        Sample,
        fairness::{largest_gap, min_received_share},
        probe::RouterCounters,
        recorder::{FinishedRequest, Recorded, RequestOutcome},
        replay::SlotWindow,
    },
    baobab_standin::{service::ServiceStats, site::Site},
    comfy_table::Table,
    serde::Serialize,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Lag term of the fairness bound, in seconds: allowance for gossip, reports and projection.
const LAG_BOUND_S: f64 = 2.0;

/// Raw observations of a replay.
pub struct Observations {
    /// Site that the trace was replayed against.
    pub site: Site,
    /// Duration of the replay, including the wait for the last responses.
    pub length: Duration,
    /// Samples of the workspaces, in order of time.
    pub samples: Vec<Sample>,
    /// Slot use between readings, in order of time.
    pub windows: Vec<SlotWindow>,
    /// Counters of each router before the replay.
    pub routers_before: Vec<RouterCounters>,
    /// Counters of each router after the replay.
    pub routers_after: Vec<RouterCounters>,
    /// Largest sampled streams, memory and threads of each router.
    pub router_peaks: Vec<RouterCounters>,
    /// Identifiers of the requests that engines started.
    pub started_requests: BTreeSet<String>,
    /// Execution counts of the services.
    pub service_stats: Vec<ServiceStats>,
    /// Observations of the callers.
    pub recorded: Recorded,
    /// Requests skipped because too many were in flight.
    pub left_out: u64,
    /// Requests still in flight at the end.
    pub abandoned: u64,
}

/// Results of a replay.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Name of the site.
    pub site: String,
    /// Finished requests.
    pub requests: u64,
    /// Requests with a complete and correct response.
    pub answers_right: u64,
    /// Requests with a complete but incorrect response.
    pub answers_wrong: u64,
    /// Requests whose response broke off.
    pub answers_incomplete: u64,
    /// Incomplete responses by reason.
    pub incomplete: BTreeMap<String, u64>,
    /// Requests skipped because too many were in flight.
    pub left_out: u64,
    /// Requests still in flight at the end.
    pub abandoned: u64,
    /// Refusals by error code.
    pub refused: BTreeMap<String, u64>,
    /// Idempotency keys that services executed more than once.
    pub ran_twice: u64,
    /// Requests that ran although their refusal said that they did not.
    pub refused_but_ran: u64,
    /// Largest difference in tokens per share, divided by the fleet's token rate, in seconds.
    pub fairness_gap_s: f64,
    /// Bound of the gap, in seconds: lag term plus granule term.
    pub fairness_bound_s: f64,
    /// Granule term, in seconds: largest request of a workspace over its share of the fleet's rate.
    pub fairness_granule_s: f64,
    /// Time of the largest gap since the start, in seconds.
    pub fairness_gap_at_s: f64,
    /// Workspaces ahead and behind at the largest gap.
    pub fairness_pair: String,
    /// Lowest fraction of its fair share that a workspace received over its backlogged time, among
    /// those backlogged for at least 5 s.
    pub least_share_kept: f64,
    /// Workspace with that lowest fraction.
    pub least_share_workspace: String,
    /// Tokens per second while any workspace was backlogged.
    pub fleet_tokens_per_s: f64,
    /// Tokens received by workspace.
    pub tokens: BTreeMap<String, u64>,
    /// Fraction of the slots that were busy while requests waited.
    pub utilisation_while_waiting: f64,
    /// Streams in excess of the slots while requests waited, as a fraction of the slots.
    pub overload_while_waiting: f64,
    /// Fraction of the prompts whose prefix the engine had cached.
    pub prefix_hits: f64,
    /// 95th percentile of the time to first token, by urgency class.
    pub first_token_p95_ms: BTreeMap<String, f64>,
    /// 95th percentile of the time between tokens, by urgency class.
    pub between_tokens_p95_ms: BTreeMap<String, f64>,
    /// Bytes per second that a router sends to peers, averaged over the routers.
    pub control_bytes_per_host_s: f64,
    /// Bytes per second to peers from the router that sends the most.
    pub control_bytes_busiest_host_s: f64,
    /// Bytes per second to peers in the same failure domain, over all routers.
    pub same_domain_bytes_s: f64,
    /// Bytes per second to peers in other failure domains, over all routers.
    pub cross_domain_bytes_s: f64,
    /// Fraction of a core that the busiest router's control thread uses.
    pub control_core_part: f64,
    /// Fraction of the grants that found no waiting request.
    pub grants_declined: f64,
    /// Largest sampled number of concurrent streams on one router.
    pub router_streams: u64,
    /// Largest sampled resident memory of a router.
    pub router_memory_bytes: u64,
    /// Largest sampled number of threads of a router.
    pub router_threads: u64,
    /// CPU time of the busiest router, as a fraction of a core.
    pub router_core_part: f64,
    /// Bytes of audit records per finished request.
    pub audit_bytes_per_request: f64,
    /// Audit batches per second, over all routers.
    pub audit_batches_per_s: f64,
    /// Slot use and waiting requests over time.
    pub timeline: Vec<TimelinePoint>,
}

/// Slot use and waiting requests at one reading.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct TimelinePoint {
    /// Time since the start, in seconds.
    pub at_s: f64,
    /// Fraction of the slots that were busy since the previous point.
    pub utilisation: f64,
    /// Requests that waited for their first token.
    pub waiting: u64,
}

impl Report {
    /// Computes the report from raw observations.
    #[must_use]
    pub fn from_observations(observations: &Observations) -> Self {
        let mut report = Self {
            site: observations.site.name.to_owned(),
            left_out: observations.left_out,
            abandoned: observations.abandoned,
            ..Self::default()
        };
        report.add_outcomes(observations);
        report.add_fairness(observations);
        report.add_slots(observations);
        report.add_latencies(&observations.recorded);
        report.add_control(observations);
        report
    }

    /// Whether a response was incorrect, incomplete or missing, or a request ran that must not.
    #[must_use]
    pub fn breaks_promise(&self) -> bool {
        let violations = self.answers_wrong
            + self.answers_incomplete
            + self.ran_twice
            + self.refused_but_ran
            + self.abandoned;
        violations > 0
    }

    /// Renders the report as a table of text.
    #[must_use]
    pub fn to_table(&self) -> String {
        let mut table = Table::new();
        table.load_preset(comfy_table::presets::NOTHING);
        table.set_header(["figure", "value"]);
        let json = serde_json::to_value(self).unwrap_or_default();
        for (name, value) in json.as_object().into_iter().flatten() {
            let text = match value {
                serde_json::Value::Number(number) if number.is_f64() => {
                    format!("{:.3}", number.as_f64().unwrap_or_default())
                }
                serde_json::Value::String(text) => text.clone(),
                serde_json::Value::Object(parts) => {
                    for (part, value) in parts {
                        table.add_row([format!("{name}.{part}"), value.to_string()]);
                    }
                    continue;
                }
                serde_json::Value::Array(_) => continue,
                other => other.to_string(),
            };
            table.add_row([name.clone(), text]);
        }
        table.to_string()
    }

    fn add_outcomes(&mut self, observations: &Observations) {
        let mut executed: BTreeMap<&str, u32> = BTreeMap::new();
        for stats in &observations.service_stats {
            for (key, count) in &stats.executions {
                *executed.entry(key).or_default() += count;
            }
        }
        self.ran_twice = baobab_unit::to_u64(executed.values().filter(|count| **count > 1).count());
        for FinishedRequest { key, outcome } in &observations.recorded.finished {
            self.requests += 1;
            match outcome {
                RequestOutcome::Correct => self.answers_right += 1,
                RequestOutcome::Incorrect => self.answers_wrong += 1,
                RequestOutcome::Incomplete(reason) => {
                    self.answers_incomplete += 1;
                    *self.incomplete.entry(reason.clone()).or_default() += 1;
                }
                RequestOutcome::Refused(refusal) => {
                    *self.refused.entry(refusal.code.clone()).or_default() += 1;
                    let chat_ran = observations.started_requests.contains(&refusal.request_id);
                    let call_ran = key.as_deref().is_some_and(|key| {
                        executed.contains_key(key)
                            && all_stated_not_run(&observations.recorded, key)
                    });
                    if refusal.ran == "no" && (chat_ran || call_ran) {
                        self.refused_but_ran += 1;
                    }
                }
            }
        }
    }

    fn add_fairness(&mut self, observations: &Observations) {
        let weights: BTreeMap<String, f64> = observations
            .site
            .workspaces
            .iter()
            .map(|workspace| (workspace.name.to_owned(), f64::from(workspace.weight)))
            .collect();
        let gap = largest_gap(&observations.samples, &weights);
        let states = &observations.recorded.workspaces;
        let granule_s = |name: &String| {
            let largest = states
                .get(name)
                .map_or(0, |state| state.max_response_tokens);
            largest as f64 / weights[name] * gap.backlogged_weight / gap.fleet_rate.max(1.0)
        };
        let backlogged: BTreeSet<&String> = observations
            .samples
            .iter()
            .flat_map(|sample| &sample.workspaces)
            .filter(|(_, state)| state.is_backlogged)
            .map(|(name, _)| name)
            .collect();
        self.fairness_granule_s = backlogged.into_iter().map(granule_s).fold(0.0, f64::max);
        self.fairness_gap_s = gap.gap_s;
        self.fairness_bound_s = LAG_BOUND_S + self.fairness_granule_s;
        self.fairness_gap_at_s = gap.at_s;
        self.fairness_pair = format!("{} ahead of {}", gap.ahead, gap.behind);
        if let Some(received) = min_received_share(&observations.samples, &weights) {
            self.least_share_kept = received.fraction;
            self.least_share_workspace = received.workspace;
        }
        self.fleet_tokens_per_s = gap.fleet_rate;
        self.tokens = states
            .iter()
            .map(|(name, state)| (name.clone(), state.tokens))
            .collect();
    }

    fn add_slots(&mut self, observations: &Observations) {
        let mut busy_ms = 0.0;
        let mut overload_ms = 0.0;
        let mut available_ms = 0.0;
        for window in observations
            .windows
            .iter()
            .filter(|window| window.is_saturated)
        {
            busy_ms += (window.after.busy_slot_ms - window.before.busy_slot_ms) as f64;
            overload_ms += (window.after.overload_slot_ms - window.before.overload_slot_ms) as f64;
            available_ms += window.length.as_secs_f64() * 1000.0 * window.after.slots as f64;
        }
        self.timeline = observations.windows.iter().map(timeline_point).collect();
        if available_ms > 0.0 {
            self.utilisation_while_waiting = busy_ms / available_ms;
            self.overload_while_waiting = overload_ms / available_ms;
        }
        if let Some(last) = observations.windows.last() {
            self.prefix_hits = last.after.prefix_hits as f64 / last.after.started.max(1) as f64;
        }
    }

    fn add_latencies(&mut self, recorded: &Recorded) {
        for (class, latencies) in &recorded.classes {
            let p95_ms = |histogram: &hdrhistogram::Histogram<u64>| {
                histogram.value_at_quantile(0.95) as f64 / 1000.0
            };
            self.first_token_p95_ms
                .insert(class.clone(), p95_ms(&latencies.first_token_us));
            self.between_tokens_p95_ms
                .insert(class.clone(), p95_ms(&latencies.between_tokens_us));
        }
    }

    fn add_control(&mut self, observations: &Observations) {
        let seconds = observations.length.as_secs_f64();
        let mut declined = 0;
        let mut used = 0;
        let pairs = observations
            .routers_before
            .iter()
            .zip(&observations.routers_after);
        for (before, after) in pairs {
            // The counters of a restarted router start from zero again.
            let growth = |before: u64, after: u64| after.saturating_sub(before) as f64 / seconds;
            let same = growth(before.same_domain_bytes, after.same_domain_bytes);
            let other = growth(before.other_domain_bytes, after.other_domain_bytes);
            let busy = growth(before.control_busy_us, after.control_busy_us) / 1e6;
            self.same_domain_bytes_s += same;
            self.cross_domain_bytes_s += other;
            self.control_bytes_busiest_host_s = self.control_bytes_busiest_host_s.max(same + other);
            self.control_core_part = self.control_core_part.max(busy);
            declined += after.grants_declined.saturating_sub(before.grants_declined);
            used += after.grants_used.saturating_sub(before.grants_used);
        }
        self.add_processes(observations, seconds);
        let routers = observations.routers_after.len().max(1) as f64;
        self.control_bytes_per_host_s =
            (self.same_domain_bytes_s + self.cross_domain_bytes_s) / routers;
        self.grants_declined = declined as f64 / (declined + used).max(1) as f64;
    }

    fn add_processes(&mut self, observations: &Observations, seconds: f64) {
        for peak in &observations.router_peaks {
            self.router_streams = self.router_streams.max(peak.streams);
            self.router_memory_bytes = self.router_memory_bytes.max(peak.memory_bytes);
            self.router_threads = self.router_threads.max(peak.threads);
        }
        let mut audit_bytes = 0;
        let mut audit_batches = 0;
        for (before, after) in observations
            .routers_before
            .iter()
            .zip(&observations.routers_after)
        {
            let cpu = after.cpu_s.saturating_sub(before.cpu_s) as f64 / seconds;
            self.router_core_part = self.router_core_part.max(cpu);
            audit_bytes += after.audit_bytes.saturating_sub(before.audit_bytes);
            audit_batches += after.audit_batches.saturating_sub(before.audit_batches);
        }
        self.audit_bytes_per_request = audit_bytes as f64 / self.requests.max(1) as f64;
        self.audit_batches_per_s = audit_batches as f64 / seconds;
    }
}

fn timeline_point(window: &SlotWindow) -> TimelinePoint {
    let busy_ms = (window.after.busy_slot_ms - window.before.busy_slot_ms) as f64;
    let available_ms = window.length.as_secs_f64() * 1000.0 * window.after.slots.max(1) as f64;
    TimelinePoint {
        at_s: window.at.as_secs_f64(),
        utilisation: busy_ms / available_ms,
        waiting: window.waiting,
    }
}

/// Whether every request with this key was refused with the statement that it did not run.
fn all_stated_not_run(recorded: &Recorded, key: &str) -> bool {
    recorded
        .finished
        .iter()
        .filter(|request| request.key.as_deref() == Some(key))
        .all(|request| {
            matches!(&request.outcome, RequestOutcome::Refused(refusal) if refusal.ran == "no")
        })
}
