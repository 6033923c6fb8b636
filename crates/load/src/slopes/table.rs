//! A measured slope.

use {super::fit::Line, std::fmt::Write};

/// One measurement.
#[derive(Debug, Clone, Copy)]
pub struct Point {
    /// Size.
    pub size: f64,
    /// Cost.
    pub cost: f64,
}

/// Cost against size.
#[derive(Debug, Clone)]
pub struct Table {
    /// Name of the plot's file.
    pub name: String,
    /// What was measured.
    pub title: String,
    /// What the size counts.
    pub size_unit: String,
    /// What the cost is in.
    pub cost_unit: String,
    /// The measurements.
    pub points: Vec<Point>,
}

impl Table {
    /// Starts an empty table.
    #[must_use]
    pub fn new(name: &str, title: &str, size_unit: &str, cost_unit: &str) -> Self {
        Self {
            name: name.to_owned(),
            title: title.to_owned(),
            size_unit: size_unit.to_owned(),
            cost_unit: cost_unit.to_owned(),
            points: Vec::new(),
        }
    }

    /// Adds a measurement.
    pub fn add(&mut self, size: f64, cost: f64) {
        self.points.push(Point { size, cost });
    }

    /// Returns the fitted line.
    #[must_use]
    pub fn line(&self) -> Line {
        Line::fit(&self.points)
    }

    /// Renders the measurements with the fitted line and its residuals.
    #[must_use]
    pub fn to_markdown(&self) -> String {
        let line = self.line();
        let mut text = format!(
            "### {}\n\n| {} | {} | line | residual |\n|--:|--:|--:|--:|\n",
            self.title, self.size_unit, self.cost_unit
        );
        for point in &self.points {
            let fitted = line.at(point.size);
            // Writing to a string does not fail.
            writeln!(
                text,
                "| {:.0} | {:.3} | {fitted:.3} | {:+.3} |",
                point.size,
                point.cost,
                point.cost - fitted
            )
            .ok();
        }
        writeln!(
            text,
            "\n{:.4} {} + {:.6} for each of {}\n",
            line.base, self.cost_unit, line.slope, self.size_unit
        )
        .ok();
        text
    }
}
