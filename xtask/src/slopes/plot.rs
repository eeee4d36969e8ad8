//! Plots of measured series as SVG files.

use std::path::Path;

use plotters::prelude::{
    BLUE, ChartBuilder, Circle, Color, DrawingAreaErrorKind, IntoDrawingArea, LineSeries, RED,
    SVGBackend, WHITE,
};

use crate::sweep::Series;

const SIZE_PIXELS: (u32, u32) = (640, 320);
const LABEL_AREA_PIXELS: u32 = 64;
const POINT_RADIUS_PIXELS: i32 = 4;
/// Upper end of the vertical axis, as a multiple of the largest value.
const HEADROOM_RATIO: f64 = 1.1;

/// Error of the drawing backend.
pub type PlotError = DrawingAreaErrorKind<std::io::Error>;

/// Draws the points of a series and the line fitted to them.
pub fn draw(series: &Series, path: &Path) -> Result<(), PlotError> {
    let area = SVGBackend::new(path, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let line = |size: f64| series.fit.intercept + series.fit.gradient * size;
    let size_max = max(series.points.iter().map(|point| point.0));
    let value_max = max(series.points.iter().map(|point| point.1)).max(line(size_max));
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("{}: {}", series.sweep, series.quantity),
            ("sans-serif", 18),
        )
        .margin(8)
        .x_label_area_size(LABEL_AREA_PIXELS / 2)
        .y_label_area_size(LABEL_AREA_PIXELS)
        .build_cartesian_2d(0.0..size_max, 0.0..value_max * HEADROOM_RATIO)?;
    chart
        .configure_mesh()
        .x_desc(series.parameter)
        .y_desc(series.quantity)
        .draw()?;
    let ends = [0.0, size_max].map(|size| (size, line(size)));
    chart.draw_series(LineSeries::new(ends, RED))?;
    let circles = series
        .points
        .iter()
        .map(|&point| Circle::new(point, POINT_RADIUS_PIXELS, BLUE.filled()));
    chart.draw_series(circles)?;
    area.present()
}

fn max(values: impl Iterator<Item = f64>) -> f64 {
    values.fold(f64::MIN_POSITIVE, f64::max)
}
