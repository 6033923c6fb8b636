//! Measures costs at several sizes on one machine and fits a line to each series.

mod decisions;
mod fit;
mod messages;
mod plot;
mod processes;
mod table;

pub use table::{Measurement, SlopeTable};

use {
    crate::LoadError,
    std::{fmt::Write, path::Path},
};

/// Measures all slopes; `reports` are written as `NAME=SIZE:FILE,SIZE:FILE,...`.
///
/// # Errors
///
/// Fails if an argument is malformed or a report file can't be read.
pub fn measure_slopes(reports: &[String]) -> Result<Vec<SlopeTable>, LoadError> {
    let mut tables = decisions::measure();
    tables.extend(messages::measure());
    for argument in reports {
        tables.extend(processes::read(argument)?);
    }
    Ok(tables)
}

/// Writes `slopes.md` with all tables and an SVG plot of each, and prints the tables.
///
/// # Errors
///
/// Fails if a file can't be written.
pub fn write_slopes(tables: &[SlopeTable], directory: &Path) -> Result<(), LoadError> {
    let file_error = |path: &Path, error: &dyn std::fmt::Display| {
        LoadError::File(path.display().to_string(), error.to_string())
    };
    std::fs::create_dir_all(directory).map_err(|error| file_error(directory, &error))?;
    let mut page = String::new();
    for table in tables {
        let path = directory.join(format!("{}.svg", table.name));
        plot::draw(table, &path).map_err(|error| file_error(&path, &error))?;
        // Writing to a string is infallible.
        write!(page, "{}", table.to_markdown()).ok();
    }
    print!("{page}");
    let path = directory.join("slopes.md");
    std::fs::write(&path, page).map_err(|error| file_error(&path, &error))
}
