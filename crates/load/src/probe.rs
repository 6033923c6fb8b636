//! Reads counters of routers, engines and services during a replay.

use {
    baobab_standin::{engine::EngineStats, service::ServiceStats},
    serde::de::DeserializeOwned,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_millis(1500);

/// Counters of one router that the report uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouterCounters {
    /// Bytes sent to peers in the same failure domain.
    pub same_domain_bytes: u64,
    /// Bytes sent to peers in other failure domains.
    pub other_domain_bytes: u64,
    /// Time that the control thread was busy, in microseconds.
    pub control_busy_us: u64,
    /// Grants that found no waiting request.
    pub grants_declined: u64,
    /// Grants used by a request.
    pub grants_used: u64,
    /// Resident memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Number of threads of the process.
    pub threads: u64,
    /// CPU time of the process, in whole seconds.
    pub cpu_s: u64,
    /// Streams in flight.
    pub streams: u64,
    /// Bytes written in audit batches.
    pub audit_bytes: u64,
    /// Audit batches written.
    pub audit_batches: u64,
}

/// Counters of all engines, summed.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotCounters {
    /// Busy time of the slots, in slot-milliseconds.
    pub busy_slot_ms: u64,
    /// Time of streams in excess of the slots, in slot-milliseconds.
    pub overload_slot_ms: u64,
    /// Number of slots.
    pub slots: u64,
    /// Streams started.
    pub started: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
}

/// Reads a router's counters; all are zero if it does not respond.
pub fn read_router_counters(admin: SocketAddr) -> RouterCounters {
    let Some(text) = fetch(admin, "/metrics").and_then(|bytes| String::from_utf8(bytes).ok())
    else {
        return RouterCounters::default();
    };
    RouterCounters {
        same_domain_bytes: metric_value(&text, "baobab_control_bytes_total{scope=\"same_domain\"}"),
        other_domain_bytes: metric_value(
            &text,
            "baobab_control_bytes_total{scope=\"other_domain\"}",
        ),
        control_busy_us: metric_value(&text, "baobab_control_busy_microseconds_total"),
        grants_declined: metric_value(&text, "baobab_grants_total{outcome=\"declined\"}"),
        grants_used: metric_value(&text, "baobab_grants_total{outcome=\"used\"}"),
        memory_bytes: metric_value(&text, "process_resident_memory_bytes"),
        threads: metric_value(&text, "process_threads"),
        cpu_s: metric_value(&text, "process_cpu_seconds_total"),
        streams: metric_value(&text, "baobab_streams"),
        audit_bytes: metric_value(&text, "baobab_audit{figure=\"bytes\"}"),
        audit_batches: metric_value(&text, "baobab_audit{figure=\"batches\"}"),
    }
}

/// Sums the counters of the engines that respond.
pub fn read_slot_counters(engines: &[SocketAddr]) -> SlotCounters {
    let mut sum = SlotCounters::default();
    for stats in engines
        .iter()
        .filter_map(|address| fetch_json::<EngineStats>(*address, "/stats"))
    {
        sum.busy_slot_ms += stats.busy_slot_ms;
        sum.overload_slot_ms += stats.overload_slot_ms;
        sum.slots += u64::from(stats.slots);
        sum.started += stats.started;
        sum.prefix_hits += stats.prefix_hits;
    }
    sum
}

/// Returns the identifiers of all requests that the engines have started.
pub fn fetch_started_requests(engines: &[SocketAddr]) -> BTreeSet<String> {
    engines
        .iter()
        .filter_map(|address| fetch_json::<Vec<String>>(*address, "/ran"))
        .flatten()
        .collect()
}

/// Returns the execution counts of the services that respond.
pub fn fetch_service_stats(services: &[SocketAddr]) -> Vec<ServiceStats> {
    services
        .iter()
        .filter_map(|address| fetch_json(*address, "/stats"))
        .collect()
}

/// Whether a router accepts callers.
pub fn is_ready(router: SocketAddr) -> bool {
    fetch(router, "/ready").is_some()
}

fn fetch_json<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
    serde_json::from_slice(&fetch(address, path)?).ok()
}

fn fetch(address: SocketAddr, path: &str) -> Option<Vec<u8>> {
    let response = attohttpc::get(format!("http://{address}{path}"))
        .connect_timeout(TIMEOUT)
        .read_timeout(TIMEOUT)
        .send()
        .ok()?;
    if !response.is_success() {
        return None;
    }
    response.bytes().ok()
}

fn metric_value(text: &str, name: &str) -> u64 {
    text.lines()
        .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
        .unwrap_or(0)
}
