//! Plots of slopes.

use {
    super::Table,
    plotters::prelude::{
        BLACK, BLUE, ChartBuilder, Circle, Color, IntoDrawingArea, LineSeries, RED, SVGBackend,
        WHITE,
    },
    std::{error::Error, path::Path},
};

const SIZE: (u32, u32) = (480, 320);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 48;
const POINT_RADIUS: i32 = 4;

/// Draws a table's points and its line.
pub fn draw(table: &Table, path: &Path) -> Result<(), Box<dyn Error>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let most = |values: &mut dyn Iterator<Item = f64>| values.fold(0.0, f64::max) * 1.1;
    let most_size = most(&mut table.points.iter().map(|point| point.size));
    let most_cost = most(&mut table.points.iter().map(|point| point.cost));
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(
            0.0..most_size.max(1.0),
            0.0..most_cost.max(f64::MIN_POSITIVE),
        )?;
    chart
        .configure_mesh()
        .x_desc(table.size_unit.as_str())
        .y_desc(table.cost_unit.as_str())
        .axis_style(BLACK)
        .draw()?;
    let line = table.line();
    chart.draw_series(LineSeries::new(
        [0.0, most_size].map(|size| (size, line.at(size).max(0.0))),
        &BLUE,
    ))?;
    chart.draw_series(
        table
            .points
            .iter()
            .map(|point| Circle::new((point.size, point.cost), POINT_RADIUS, RED.filled())),
    )?;
    area.present()?;
    Ok(())
}
