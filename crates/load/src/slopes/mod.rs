//! Costs against sizes, measured on one machine, with a line fitted to each.

mod decisions;
mod fit;
mod messages;
mod plot;
mod processes;
mod table;

pub use table::{Point, Table};

use {
    crate::LoadError,
    std::{fmt::Write, path::Path},
};

/// Measures all slopes.
///
/// # Errors
///
/// Fails where a report that was named can't be read.
pub fn measure_slopes(reports: &[String]) -> Result<Vec<Table>, LoadError> {
    let mut tables = decisions::measure();
    tables.extend(messages::measure());
    for named in reports {
        tables.extend(processes::read(named)?);
    }
    Ok(tables)
}

/// Writes a page with all tables and a plot of each.
///
/// # Errors
///
/// Fails where a file can't be written.
pub fn write_slopes(tables: &[Table], directory: &Path) -> Result<(), LoadError> {
    let failed = |path: &Path, error: &dyn std::fmt::Display| {
        LoadError::File(path.display().to_string(), error.to_string())
    };
    std::fs::create_dir_all(directory).map_err(|error| failed(directory, &error))?;
    let mut page = String::new();
    for table in tables {
        let path = directory.join(format!("{}.svg", table.name));
        plot::draw(table, &path).map_err(|error| failed(&path, &error))?;
        // Writing to a string does not fail.
        write!(page, "{}", table.to_markdown()).ok();
    }
    print!("{page}");
    let path = directory.join("slopes.md");
    std::fs::write(&path, page).map_err(|error| failed(&path, &error))
}
