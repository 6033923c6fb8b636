//! Slopes from the reports of replays with growing numbers.

use {super::Table, crate::LoadError, serde_json::Value, std::path::Path};

/// A figure of a report that makes a slope.
struct Figure {
    name: &'static str,
    title: &'static str,
    unit: &'static str,
    field: &'static str,
    scale: f64,
}

const FIGURES: [Figure; 5] = [
    Figure {
        name: "control-bytes",
        title: "Control bytes that a router sends",
        unit: "bytes/s",
        field: "control_bytes_per_host_s",
        scale: 1.0,
    },
    Figure {
        name: "control-busiest",
        title: "Control bytes that the busiest router sends",
        unit: "bytes/s",
        field: "control_bytes_busiest_host_s",
        scale: 1.0,
    },
    Figure {
        name: "control-core",
        title: "Control thread of the busiest router",
        unit: "% of a core",
        field: "control_core_part",
        scale: 100.0,
    },
    Figure {
        name: "memory",
        title: "Resident memory of the largest router",
        unit: "MB",
        field: "router_memory_bytes",
        scale: 1e-6,
    },
    Figure {
        name: "threads",
        title: "Threads of the largest router",
        unit: "threads",
        field: "router_threads",
        scale: 1.0,
    },
];

/// Reads `NAME=SIZE:FILE,SIZE:FILE,...` into a table for each figure.
pub fn read(named: &str) -> Result<Vec<Table>, LoadError> {
    let bad = |reason: &str| LoadError::File(named.to_owned(), reason.to_owned());
    let (size_unit, list) = named
        .split_once('=')
        .ok_or_else(|| bad("write NAME=SIZE:FILE,..."))?;
    let mut reports = Vec::new();
    for part in list.split(',') {
        let (size, file) = part
            .split_once(':')
            .ok_or_else(|| bad("write NAME=SIZE:FILE,..."))?;
        let size: f64 = size.parse().map_err(|_| bad("the size is no number"))?;
        reports.push((size, read_json(Path::new(file))?));
    }
    Ok(FIGURES
        .iter()
        .map(|figure| table(figure, size_unit, &reports))
        .collect())
}

fn table(figure: &Figure, size_unit: &str, reports: &[(f64, Value)]) -> Table {
    let name = format!("{}-by-{}", figure.name, size_unit.replace(' ', "-"));
    let title = format!("{}, by {size_unit}", figure.title);
    let mut table = Table::new(&name, &title, size_unit, figure.unit);
    for (size, report) in reports {
        let cost = report[figure.field].as_f64().unwrap_or_default();
        table.add(*size, cost * figure.scale);
    }
    table
}

fn read_json(path: &Path) -> Result<Value, LoadError> {
    let name = path.display().to_string();
    let bytes =
        std::fs::read(path).map_err(|error| LoadError::File(name.clone(), error.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|error| LoadError::File(name, error.to_string()))
}
