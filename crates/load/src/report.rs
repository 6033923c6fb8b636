//! The report of a replay.

use {
    crate::{
        Sample,
        fairness::{largest_gap, least_share_kept},
        probe::RouterFigures,
        recorder::{Collected, Ended, Ending},
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

/// Lag part of the fairness bound: what the exchange, the reports and the projection may leave.
const LAG_BOUND_S: f64 = 2.0;

/// Everything observed during a replay.
pub struct Observed {
    /// The site.
    pub site: Site,
    /// Time from the first arrival to the last end.
    pub length: Duration,
    /// Samples of the workspaces.
    pub samples: Vec<Sample>,
    /// Readings of the slots.
    pub windows: Vec<SlotWindow>,
    /// Counters of the routers before.
    pub routers_before: Vec<RouterFigures>,
    /// Counters of the routers after.
    pub routers_after: Vec<RouterFigures>,
    /// The largest figures of each router, from several looks.
    pub router_peaks: Vec<RouterFigures>,
    /// Requests that engines started.
    pub ran_requests: BTreeSet<String>,
    /// What services executed.
    pub executions: Vec<ServiceStats>,
    /// What callers saw.
    pub collected: Collected,
    /// Requests left out because too many were open.
    pub left_out: u64,
    /// Requests still open at the end.
    pub abandoned: u64,
}

/// Figures of a replay.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    /// Site.
    pub site: String,
    /// Requests that ended.
    pub requests: u64,
    /// Requests answered as complete and right.
    pub answers_right: u64,
    /// Requests answered as complete and wrong.
    pub answers_wrong: u64,
    /// Requests whose answer broke off.
    pub answers_incomplete: u64,
    /// Why answers broke off.
    pub incomplete: BTreeMap<String, u64>,
    /// Requests left out because too many were open.
    pub left_out: u64,
    /// Requests still open at the end.
    pub abandoned: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Keys that services executed more than once.
    pub ran_twice: u64,
    /// Requests whose callers were told that they did not run, and which ran.
    pub refused_but_ran: u64,
    /// Largest gap in service per share, over the fleet's rate.
    pub fairness_gap_s: f64,
    /// Bound of the gap: the lag part and the granule part.
    pub fairness_bound_s: f64,
    /// Granule part: the largest request of a workspace over its share of the fleet's rate.
    pub fairness_granule_s: f64,
    /// When the gap was largest.
    pub fairness_gap_at_s: f64,
    /// The workspaces ahead and behind when the gap was largest.
    pub fairness_pair: String,
    /// Least part of its fair share that a workspace received, of those that were backlogged for
    /// at least 5 s, over all the time that each was.
    pub least_share_kept: f64,
    /// That workspace.
    pub least_share_workspace: String,
    /// Tokens a second while somebody was backlogged.
    pub fleet_tokens_per_s: f64,
    /// Tokens by workspace.
    pub tokens: BTreeMap<String, u64>,
    /// Part of the slots that were busy while requests waited.
    pub utilisation_while_waiting: f64,
    /// Streams beyond the slots, as a part of the slots, while requests waited.
    pub overload_while_waiting: f64,
    /// Prompts whose prefix an engine had cached, as a part of all.
    pub prefix_hits: f64,
    /// Time to the first token, by class.
    pub first_token_p95_ms: BTreeMap<String, f64>,
    /// Time between tokens, by class.
    pub between_tokens_p95_ms: BTreeMap<String, f64>,
    /// Bytes to peers that a router sends.
    pub control_bytes_per_host_s: f64,
    /// The same of the router that sends the most.
    pub control_bytes_busiest_host_s: f64,
    /// Bytes to peers within the failure domains, of all routers.
    pub same_domain_bytes_s: f64,
    /// Bytes to peers in other failure domains, of all routers.
    pub cross_domain_bytes_s: f64,
    /// Time of the control thread as a part of a core, of the busiest router.
    pub control_core_part: f64,
    /// Grants that came for nobody, as a part of all.
    pub grants_declined: f64,
    /// Most streams that a router had at the same time, as far as it was looked at.
    pub router_streams: u64,
    /// Most resident memory of a router.
    pub router_memory_bytes: u64,
    /// Most threads of a router.
    pub router_threads: u64,
    /// Processor time of the busiest router, as a part of a core.
    pub router_core_part: f64,
    /// Bytes of audit records for each request.
    pub audit_bytes_per_request: f64,
    /// Audit batches that all routers wrote a second.
    pub audit_batches_per_s: f64,
    /// Slots and waiting requests over time.
    pub timeline: Vec<TimelinePoint>,
}

/// Slots and waiting requests at one moment.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct TimelinePoint {
    /// Time since the start.
    pub at_s: f64,
    /// Part of the slots that were busy since the point before.
    pub utilisation: f64,
    /// Requests that waited.
    pub waiting: u64,
}

impl Report {
    /// Works the figures out.
    #[must_use]
    pub fn of(observed: &Observed) -> Self {
        let mut report = Self {
            site: observed.site.name.to_owned(),
            left_out: observed.left_out,
            abandoned: observed.abandoned,
            ..Self::default()
        };
        report.add_endings(observed);
        report.add_fairness(observed);
        report.add_slots(observed);
        report.add_times(&observed.collected);
        report.add_control(observed);
        report
    }

    /// Tells whether a promise broke.
    #[must_use]
    pub fn has_broken_promise(&self) -> bool {
        let broken = self.answers_wrong
            + self.answers_incomplete
            + self.ran_twice
            + self.refused_but_ran
            + self.abandoned;
        broken > 0
    }

    /// Renders the figures as a table.
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

    fn add_endings(&mut self, observed: &Observed) {
        let mut executed: BTreeMap<&str, u32> = BTreeMap::new();
        for stats in &observed.executions {
            for (key, count) in &stats.executions {
                *executed.entry(key).or_default() += count;
            }
        }
        self.ran_twice = baobab_unit::to_u64(executed.values().filter(|count| **count > 1).count());
        for Ended { key, ending } in &observed.collected.endings {
            self.requests += 1;
            match ending {
                Ending::Right => self.answers_right += 1,
                Ending::Wrong => self.answers_wrong += 1,
                Ending::Incomplete(reason) => {
                    self.answers_incomplete += 1;
                    *self.incomplete.entry(reason.clone()).or_default() += 1;
                }
                Ending::Refused(refusal) => {
                    *self.refused.entry(refusal.code.clone()).or_default() += 1;
                    let ran_chat = observed.ran_requests.contains(&refusal.request_id);
                    let ran_call = key.as_deref().is_some_and(|key| {
                        executed.contains_key(key) && all_refused(&observed.collected, key)
                    });
                    if refusal.ran == "no" && (ran_chat || ran_call) {
                        self.refused_but_ran += 1;
                    }
                }
            }
        }
    }

    fn add_fairness(&mut self, observed: &Observed) {
        let weights: BTreeMap<String, f64> = observed
            .site
            .workspaces
            .iter()
            .map(|workspace| (workspace.name.to_owned(), f64::from(workspace.weight)))
            .collect();
        let gap = largest_gap(&observed.samples, &weights);
        let states = &observed.collected.workspaces;
        let granule_of = |name: &String| {
            let largest = states.get(name).map_or(0, |state| state.largest_tokens);
            largest as f64 / weights[name] * gap.backlogged_weight / gap.fleet_rate.max(1.0)
        };
        let backlogged: BTreeSet<&String> = observed
            .samples
            .iter()
            .flat_map(|sample| &sample.workspaces)
            .filter(|(_, state)| state.is_backlogged)
            .map(|(name, _)| name)
            .collect();
        self.fairness_granule_s = backlogged.into_iter().map(granule_of).fold(0.0, f64::max);
        self.fairness_gap_s = gap.gap_s;
        self.fairness_bound_s = LAG_BOUND_S + self.fairness_granule_s;
        self.fairness_gap_at_s = gap.at_s;
        self.fairness_pair = format!("{} ahead of {}", gap.ahead, gap.behind);
        if let Some(kept) = least_share_kept(&observed.samples, &weights) {
            self.least_share_kept = kept.part;
            self.least_share_workspace = kept.workspace;
        }
        self.fleet_tokens_per_s = gap.fleet_rate;
        self.tokens = states
            .iter()
            .map(|(name, state)| (name.clone(), state.tokens))
            .collect();
    }

    fn add_slots(&mut self, observed: &Observed) {
        let mut busy_ms = 0.0;
        let mut over_ms = 0.0;
        let mut possible_ms = 0.0;
        for window in observed.windows.iter().filter(|window| window.is_saturated) {
            busy_ms += (window.after.busy_slot_ms - window.before.busy_slot_ms) as f64;
            over_ms += (window.after.overload_slot_ms - window.before.overload_slot_ms) as f64;
            possible_ms += window.length.as_secs_f64() * 1000.0 * window.after.slots as f64;
        }
        self.timeline = observed.windows.iter().map(timeline_point).collect();
        if possible_ms > 0.0 {
            self.utilisation_while_waiting = busy_ms / possible_ms;
            self.overload_while_waiting = over_ms / possible_ms;
        }
        if let Some(last) = observed.windows.last() {
            self.prefix_hits = last.after.prefix_hits as f64 / last.after.started.max(1) as f64;
        }
    }

    fn add_times(&mut self, collected: &Collected) {
        for (class, times) in &collected.classes {
            let p95_ms = |histogram: &hdrhistogram::Histogram<u64>| {
                histogram.value_at_quantile(0.95) as f64 / 1000.0
            };
            self.first_token_p95_ms
                .insert(class.clone(), p95_ms(&times.first_token_us));
            self.between_tokens_p95_ms
                .insert(class.clone(), p95_ms(&times.between_tokens_us));
        }
    }

    fn add_control(&mut self, observed: &Observed) {
        let seconds = observed.length.as_secs_f64();
        let mut declined = 0;
        let mut used = 0;
        let pairs = observed.routers_before.iter().zip(&observed.routers_after);
        for (before, after) in pairs {
            // A router that was restarted counts from zero again.
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
        self.add_processes(observed, seconds);
        let hosts = observed.routers_after.len().max(1) as f64;
        self.control_bytes_per_host_s =
            (self.same_domain_bytes_s + self.cross_domain_bytes_s) / hosts;
        self.grants_declined = declined as f64 / (declined + used).max(1) as f64;
    }

    fn add_processes(&mut self, observed: &Observed, seconds: f64) {
        for peak in &observed.router_peaks {
            self.router_streams = self.router_streams.max(peak.streams);
            self.router_memory_bytes = self.router_memory_bytes.max(peak.memory_bytes);
            self.router_threads = self.router_threads.max(peak.threads);
        }
        let mut audit_bytes = 0;
        let mut audit_batches = 0;
        for (before, after) in observed.routers_before.iter().zip(&observed.routers_after) {
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
    let possible_ms = window.length.as_secs_f64() * 1000.0 * window.after.slots.max(1) as f64;
    TimelinePoint {
        at_s: window.at.as_secs_f64(),
        utilisation: busy_ms / possible_ms,
        waiting: window.waiting,
    }
}

/// Tells whether every attempt under a key was told that it did not run.
fn all_refused(collected: &Collected, key: &str) -> bool {
    collected
        .endings
        .iter()
        .filter(|ended| ended.key.as_deref() == Some(key))
        .all(|ended| matches!(&ended.ending, Ending::Refused(refusal) if refusal.ran == "no"))
}
