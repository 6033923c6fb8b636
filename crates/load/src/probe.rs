//! Reads figures of routers, engines and services while a trace is replayed.

use {
    baobab_standin::{engine::EngineStats, service::ServiceStats},
    serde::de::DeserializeOwned,
    std::{collections::BTreeSet, net::SocketAddr, time::Duration},
};

const TIMEOUT: Duration = Duration::from_millis(1500);

/// Counters of a router that the report needs.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouterFigures {
    /// Bytes to peers within the failure domain.
    pub same_domain_bytes: u64,
    /// Bytes to peers in other failure domains.
    pub other_domain_bytes: u64,
    /// Time that the control thread was busy.
    pub control_busy_us: u64,
    /// Grants that came for nobody.
    pub grants_declined: u64,
    /// Grants used.
    pub grants_used: u64,
    /// Resident memory of the process.
    pub memory_bytes: u64,
    /// Threads of the process.
    pub threads: u64,
    /// Processor time of the process, whole seconds.
    pub cpu_s: u64,
    /// Streams running.
    pub streams: u64,
    /// Bytes of audit batches written.
    pub audit_bytes: u64,
    /// Audit batches written.
    pub audit_batches: u64,
}

/// Slots of all engines.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlotFigures {
    /// Time of busy slots, summed.
    pub busy_slot_ms: u64,
    /// Time of streams beyond the slots, summed.
    pub overload_slot_ms: u64,
    /// Slots.
    pub slots: u64,
    /// Streams started.
    pub started: u64,
    /// Prompts whose prefix was cached.
    pub prefix_hits: u64,
}

/// Reads a router's counters; zeros where it does not answer.
pub fn router_figures(admin: SocketAddr) -> RouterFigures {
    let Some(text) = fetch(admin, "/metrics").and_then(|bytes| String::from_utf8(bytes).ok())
    else {
        return RouterFigures::default();
    };
    RouterFigures {
        same_domain_bytes: counter(&text, "baobab_control_bytes_total{scope=\"same_domain\"}"),
        other_domain_bytes: counter(&text, "baobab_control_bytes_total{scope=\"other_domain\"}"),
        control_busy_us: counter(&text, "baobab_control_busy_microseconds_total"),
        grants_declined: counter(&text, "baobab_grants_total{outcome=\"declined\"}"),
        grants_used: counter(&text, "baobab_grants_total{outcome=\"used\"}"),
        memory_bytes: counter(&text, "process_resident_memory_bytes"),
        threads: counter(&text, "process_threads"),
        cpu_s: counter(&text, "process_cpu_seconds_total"),
        streams: counter(&text, "baobab_streams"),
        audit_bytes: counter(&text, "baobab_audit{figure=\"bytes\"}"),
        audit_batches: counter(&text, "baobab_audit{figure=\"batches\"}"),
    }
}

/// Sums the engines' slots.
pub fn slot_figures(engines: &[SocketAddr]) -> SlotFigures {
    let mut sum = SlotFigures::default();
    for stats in engines
        .iter()
        .filter_map(|address| parse::<EngineStats>(*address, "/stats"))
    {
        sum.busy_slot_ms += stats.busy_slot_ms;
        sum.overload_slot_ms += stats.overload_slot_ms;
        sum.slots += u64::from(stats.slots);
        sum.started += stats.started;
        sum.prefix_hits += stats.prefix_hits;
    }
    sum
}

/// Collects the requests that engines have ever started.
pub fn ran_requests(engines: &[SocketAddr]) -> BTreeSet<String> {
    engines
        .iter()
        .filter_map(|address| parse::<Vec<String>>(*address, "/ran"))
        .flatten()
        .collect()
}

/// Reads what services have executed.
pub fn executions(services: &[SocketAddr]) -> Vec<ServiceStats> {
    services
        .iter()
        .filter_map(|address| parse(*address, "/stats"))
        .collect()
}

/// Tells whether a router takes callers.
pub fn is_ready(router: SocketAddr) -> bool {
    fetch(router, "/ready").is_some()
}

fn parse<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Option<T> {
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

fn counter(text: &str, name: &str) -> u64 {
    text.lines()
        .find_map(|line| line.strip_prefix(name)?.trim().parse().ok())
        .unwrap_or(0)
}
