//! Table of measurements with a fitted line.

use {super::fit::Line, std::fmt::Write};

/// One measurement.
#[derive(Debug, Clone, Copy)]
pub struct Measurement {
    /// Size, in the table's size unit.
    pub size: f64,
    /// Cost, in the table's cost unit.
    pub cost: f64,
}

/// Measurements of a cost at several sizes.
#[derive(Debug, Clone)]
pub struct SlopeTable {
    /// File name of the plot, without extension.
    pub name: String,
    /// Title of the table.
    pub title: String,
    /// Unit of the size axis.
    pub size_unit: String,
    /// Unit of the cost axis.
    pub cost_unit: String,
    /// Measurements, in the order in which they were added.
    pub measurements: Vec<Measurement>,
}

impl SlopeTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(name: &str, title: &str, size_unit: &str, cost_unit: &str) -> Self {
        Self {
            name: name.to_owned(),
            title: title.to_owned(),
            size_unit: size_unit.to_owned(),
            cost_unit: cost_unit.to_owned(),
            measurements: Vec::new(),
        }
    }

    /// Adds a measurement.
    pub fn add(&mut self, size: f64, cost: f64) {
        self.measurements.push(Measurement { size, cost });
    }

    /// Fits a line to the measurements.
    #[must_use]
    pub fn line(&self) -> Line {
        Line::fit(&self.measurements)
    }

    /// Renders the measurements, the fitted line and its residuals as Markdown.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let line = self.line();
        let mut text = format!(
            "### {}\n\n| {} | {} | line | residual |\n|--:|--:|--:|--:|\n",
            self.title, self.size_unit, self.cost_unit
        );
        for measurement in &self.measurements {
            let fitted = line.predict(measurement.size);
            // Writing to a string is infallible.
            writeln!(
                text,
                "| {:.0} | {:.3} | {fitted:.3} | {:+.3} |",
                measurement.size,
                measurement.cost,
                measurement.cost - fitted
            )
            .ok();
        }
        writeln!(
            text,
            "\n{:.4} {} + {:.6} for each of {}\n",
            line.intercept, self.cost_unit, line.slope, self.size_unit
        )
        .ok();
        text
    }
}
