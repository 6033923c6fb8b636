//! Draws slope tables as SVG.

use {
    super::SlopeTable,
    plotters::prelude::{
        BLACK, BLUE, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, RED, SVGBackend,
        WHITE,
    },
    std::{error::Error, path::Path},
};

/// Width and height of the image, in pixels.
const IMAGE_SIZE: (u32, u32) = (480, 320);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 48;
const POINT_RADIUS: i32 = 4;

/// Draws a table's measurements and its fitted line.
pub fn draw(table: &SlopeTable, path: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let axis_max = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max) * 1.1;
    let max_size = axis_max(
        &mut table
            .measurements
            .iter()
            .map(|measurement| measurement.size),
    );
    let max_cost = axis_max(
        &mut table
            .measurements
            .iter()
            .map(|measurement| measurement.cost),
    );
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..max_size.max(1.0), 0.0..max_cost.max(f64::MIN_POSITIVE))?;
    chart
        .configure_mesh()
        .x_desc(table.size_unit.as_str())
        .y_desc(table.cost_unit.as_str())
        .axis_style(BLACK)
        .draw()?;
    let line = table.line();
    chart.draw_series(LineSeries::new(
        [0.0, max_size].map(|size| (size, line.predict(size).max(0.0))),
        &BLUE,
    ))?;
    chart.draw_series(table.measurements.iter().map(|measurement| {
        Circle::new(
            (measurement.size, measurement.cost),
            POINT_RADIUS,
            RED.filled(),
        )
    }))?;
    area.present()?;
    Ok(())
}
