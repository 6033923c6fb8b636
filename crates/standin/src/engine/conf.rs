//! Settings of stand-in engines.

use {
    baobab_conf::{Findings, ini::Document},
    std::{net::SocketAddr, time::Duration},
};

/// Settings of one engine.
#[derive(Debug, Clone)]
pub struct EngineConf {
    /// Name.
    pub name: String,
    /// Address.
    pub address: SocketAddr,
    /// Batch size that it is meant for.
    pub slots: u32,
    /// Time of a step with an empty batch.
    pub step_base: Duration,
    /// Time that each stream adds to a step.
    pub step_per_stream: Duration,
    /// Time to read a thousand characters of a prompt that isn't cached.
    pub prefill_per_thousand: Duration,
    /// Prompt prefixes that fit in the cache.
    pub cached_prefixes: usize,
    /// Age of the load that it reports.
    pub load_lag: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

/// Reads the settings of all engines of a process.
///
/// # Errors
///
/// Returns everything found wrong with the file.
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
