//! A sweep: some quantities measured at several sizes, with a straight line fitted to each.

use linreg::linear_regression_of;

/// What is measured, and at which sizes.
pub struct Sweep {
    /// Name of the sweep; its plots and figures begin with it.
    pub name: &'static str,
    /// What grows.
    pub size: &'static str,
    /// The sizes, at least four, so that a bend can be told from noise.
    pub sizes: &'static [u32],
    /// What is measured, each with its unit as suffix.
    pub quantities: &'static [&'static str],
    /// Measures the quantities at one size, in the same order.
    pub measure: fn(u32) -> Vec<f64>,
}

/// One quantity of a sweep that has been measured.
pub struct Slope {
    /// Name of the sweep.
    pub sweep: &'static str,
    /// What grows.
    pub size: &'static str,
    /// What was measured.
    pub quantity: &'static str,
    /// Sizes and quantities.
    pub points: Vec<(f64, f64)>,
    /// The line.
    pub fit: Fit,
}

/// A straight line through the points of a slope.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Quantity added by one unit of size.
    pub gradient: f64,
    /// Quantity at size 0.
    pub intercept: f64,
    /// Root mean square distance of the points from the line over the mean quantity.
    pub residual_ratio: f64,
}

/// Measures a sweep at each of its sizes.
pub fn run(sweep: &Sweep) -> Vec<Slope> {
    let rows: Vec<(f64, Vec<f64>)> = sweep
        .sizes
        .iter()
        .map(|&size| (f64::from(size), (sweep.measure)(size)))
        .collect();
    let slopes = sweep
        .quantities
        .iter()
        .enumerate()
        .map(|(column, &quantity)| {
            let points: Vec<(f64, f64)> = rows
                .iter()
                .map(|(size, row)| (*size, row[column]))
                .collect();
            Slope {
                sweep: sweep.name,
                size: sweep.size,
                quantity,
                fit: fit(&points),
                points,
            }
        });
    slopes.collect()
}

/// Fits a line by least squares; a flat line if all sizes are the same.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let (gradient, intercept) = linear_regression_of(points).unwrap_or((0.0, mean));
    let squares = points
        .iter()
        .map(|(x, y)| (y - intercept - gradient * x).powi(2));
    let distance = (squares.sum::<f64>() / count).sqrt();
    let residual_ratio = if mean == 0.0 {
        0.0
    } else {
        distance / mean.abs()
    };
    Fit {
        gradient,
        intercept,
        residual_ratio,
    }
}
