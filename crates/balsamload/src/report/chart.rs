//! Charts of a report, in SVG.

use plotters::{
    coord::Shift,
    prelude::{
        BLUE, ChartBuilder, DrawingArea, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE,
    },
    style::RGBColor,
};

use super::Report;
use crate::error::LoadError;

/// Width and height of the image.
const SIZE_PIXELS: (u32, u32) = (900, 1050);
/// Charts, stacked vertically.
const CHARTS_COUNT: usize = 3;
const LABEL_AREA_PIXELS: u32 = 55;
const MARGIN_PIXELS: u32 = 12;
const TITLE_PIXELS: u32 = 18;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A chart with a single line.
struct Plot {
    title: &'static str,
    x_label: &'static str,
    y_label: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws latency by quantile, coverage by second and extra load by second.
///
/// # Errors
///
/// Returns an error if a chart cannot be drawn.
pub fn draw(report: &Report) -> Result<String, LoadError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE_PIXELS).into_drawing_area();
        root.fill(&WHITE).map_err(draw_error)?;
        let areas = root.split_evenly((CHARTS_COUNT, 1));
        for (area, plot) in areas.iter().zip(plots(report)) {
            draw_plot(area, &plot)?;
        }
        root.present().map_err(draw_error)?;
    }
    Ok(svg)
}

fn plots(report: &Report) -> [Plot; CHARTS_COUNT] {
    let curve = report.latency_curve.iter();
    let curve = curve.map(|point| (point.nines, point.latency_ms));
    let seconds = || report.seconds.iter().enumerate();
    let coverage = seconds().map(|(second, row)| (second as f64, row.coverage_ratio));
    let extra = seconds().map(|(second, row)| (second as f64, row.extra_load_ratio));
    [
        Plot {
            title: "Latency from scheduled arrival",
            x_label: "nines of the quantile (1 = 90 %, 2 = 99 %, 3 = 99.9 %)",
            y_label: "ms",
            color: BLUE,
            points: curve.collect(),
        },
        Plot {
            title: "Coverage by second",
            x_label: "s",
            y_label: "answered services / total services",
            color: BLUE,
            points: coverage.collect(),
        },
        Plot {
            title: "Extra load by second",
            x_label: "s",
            y_label: "hedged calls and retries / first calls",
            color: RED,
            points: extra.collect(),
        },
    ]
}

fn draw_plot(area: &Area<'_>, plot: &Plot) -> Result<(), LoadError> {
    let x_max = plot.points.iter().map(|point| point.0).fold(1.0, f64::max);
    let y_max = plot.points.iter().map(|point| point.1).fold(0.01, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(plot.title, ("sans-serif", TITLE_PIXELS))
        .margin(MARGIN_PIXELS)
        .x_label_area_size(LABEL_AREA_PIXELS)
        .y_label_area_size(LABEL_AREA_PIXELS)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max * 1.1)
        .map_err(draw_error)?;
    chart
        .configure_mesh()
        .x_desc(plot.x_label)
        .y_desc(plot.y_label)
        .draw()
        .map_err(draw_error)?;
    let points = plot.points.iter().copied();
    chart
        .draw_series(LineSeries::new(points, &plot.color))
        .map_err(draw_error)?;
    Ok(())
}

fn draw_error(error: impl std::fmt::Display) -> LoadError {
    LoadError::Draw(error.to_string())
}
