//! Builds slope tables from the reports of replays at increasing sizes.

use {super::SlopeTable, crate::LoadError, serde_json::Value, std::path::Path};

/// A report field that becomes a slope table.
struct Metric {
    name: &'static str,
    title: &'static str,
    unit: &'static str,
    field: &'static str,
    scale: f64,
}

const METRICS: [Metric; 5] = [
    Metric {
        name: "control-bytes",
        title: "Control bytes that a router sends",
        unit: "bytes/s",
        field: "control_bytes_per_host_s",
        scale: 1.0,
    },
    Metric {
        name: "control-busiest",
        title: "Control bytes that the busiest router sends",
        unit: "bytes/s",
        field: "control_bytes_busiest_host_s",
        scale: 1.0,
    },
    Metric {
        name: "control-core",
        title: "Control thread of the busiest router",
        unit: "% of a core",
        field: "control_core_part",
        scale: 100.0,
    },
    Metric {
        name: "memory",
        title: "Resident memory of the largest router",
        unit: "MB",
        field: "router_memory_bytes",
        scale: 1e-6,
    },
    Metric {
        name: "threads",
        title: "Threads of the largest router",
        unit: "threads",
        field: "router_threads",
        scale: 1.0,
    },
];

/// Parses `NAME=SIZE:FILE,SIZE:FILE,...` and builds a table for each metric.
pub fn read(argument: &str) -> Result<Vec<SlopeTable>, LoadError> {
    let malformed = |reason: &str| LoadError::File(argument.to_owned(), reason.to_owned());
    let (size_unit, list) = argument
        .split_once('=')
        .ok_or_else(|| malformed("expected NAME=SIZE:FILE,..."))?;
    let mut reports = Vec::new();
    for part in list.split(',') {
        let (size, file) = part
            .split_once(':')
            .ok_or_else(|| malformed("expected NAME=SIZE:FILE,..."))?;
        let size: f64 = size
            .parse()
            .map_err(|_| malformed("the size is not a number"))?;
        reports.push((size, read_json(Path::new(file))?));
    }
    Ok(METRICS
        .iter()
        .map(|metric| metric_table(metric, size_unit, &reports))
        .collect())
}

fn metric_table(metric: &Metric, size_unit: &str, reports: &[(f64, Value)]) -> SlopeTable {
    let name = format!("{}-by-{}", metric.name, size_unit.replace(' ', "-"));
    let title = format!("{}, by {size_unit}", metric.title);
    let mut table = SlopeTable::new(&name, &title, size_unit, metric.unit);
    for (size, report) in reports {
        let cost = report[metric.field].as_f64().unwrap_or_default();
        table.add(*size, cost * metric.scale);
    }
    table
}

fn read_json(path: &Path) -> Result<Value, LoadError> {
    let name = path.display().to_string();
    let bytes =
        std::fs::read(path).map_err(|error| LoadError::File(name.clone(), error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| LoadError::File(name, error.to_string()))
}
