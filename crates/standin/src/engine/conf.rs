//! Settings of simulated engines.

use {
    baobab_conf::{Findings, ini::Document},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of one engine.
#[derive(Debug, Clone)]
pub struct EngineConf {
    /// Name of the engine.
    pub name: String,
    /// Address to listen on.
    pub address: SocketAddr,
    /// Batch size that the engine is designed for.
    pub slots: u32,
    /// Step time of an empty batch.
    pub step_base: Duration,
    /// Step time that each stream adds.
    pub step_per_stream: Duration,
    /// Prefill time per thousand bytes of a prompt whose prefix isn't cached.
    pub prefill_per_thousand: Duration,
    /// Capacity of the prefix cache, in prefixes.
    pub cached_prefixes: usize,
    /// Age of the reported load.
    pub load_lag: Duration,
    /// Whether orders with a stale fencing number are refused.
    pub checks_fencing: bool,
}

/// Parses the settings of all engines of a process.
///
/// # Errors
///
/// Returns all findings if the file is invalid.
pub fn parse_engines(file: &str, text: &str) -> Result<Vec<EngineConf>, Findings> {
    let mut findings = Findings::new(file);
    let mut document = Document::parse(text, &mut findings);
    let mut engines = Vec::new();
    for mut section in document.take("engine") {
        let found = &mut findings;
        engines.push(EngineConf {
            name: section.name().to_owned(),
            address: section.address("address", found),
            slots: section.value("slots", 8, "a number", found),
            step_base: section.time("step_base", Duration::from_millis(25), found),
            step_per_stream: section.time("step_per_stream", Duration::from_millis(2), found),
            prefill_per_thousand: section.time(
                "prefill_per_thousand",
                Duration::from_millis(20),
                found,
            ),
            cached_prefixes: section.value("cached_prefixes", 16, "a number", found),
            load_lag: section.time("load_lag", Duration::from_millis(500), found),
            checks_fencing: section.flag("checks_fencing", false, found),
        });
        section.finish(found);
    }
    document.finish(&mut findings);
    findings.into_result(engines)
}
