//! Sweeps: quantities measured while one parameter varies, with a linear fit of each quantity.

use linreg::linear_regression_of;

/// The quantities to measure and the parameter to vary.
pub struct Sweep {
    /// Unique name; prefix of the names of its plots and results.
    pub name: &'static str,
    /// Name of the parameter that varies.
    pub parameter: &'static str,
    /// Values of the parameter, ascending, at least four to tell curvature from noise.
    pub sizes: &'static [u32],
    /// Names of the measured quantities, with the unit as suffix.
    pub quantities: &'static [&'static str],
    /// Measures the quantities at one value of the parameter, in the order of `quantities`.
    pub measure: fn(u32) -> Vec<f64>,
}

/// The measured points of one quantity of a sweep.
pub struct Series {
    pub sweep: &'static str,
    /// Name of the parameter that varies.
    pub parameter: &'static str,
    pub quantity: &'static str,
    /// Pairs of parameter and quantity.
    pub points: Vec<(f64, f64)>,
    pub fit: Fit,
}

/// A least-squares line through the points of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Increase of the quantity per unit of the parameter.
    pub gradient: f64,
    /// Quantity where the parameter is 0.
    pub intercept: f64,
    /// Root mean square of the residuals, divided by the absolute mean of the quantity; 0 if the
    /// mean is 0.
    pub residual_ratio: f64,
}

/// Measures all quantities at each size and fits a line to each.
pub fn run(sweep: &Sweep) -> Vec<Series> {
    let rows: Vec<(f64, Vec<f64>)> = sweep
        .sizes
        .iter()
        .map(|&size| (f64::from(size), (sweep.measure)(size)))
        .collect();
    let series = sweep
        .quantities
        .iter()
        .enumerate()
        .map(|(column, &quantity)| {
            let points: Vec<(f64, f64)> = rows
                .iter()
                .map(|(size, row)| (*size, row[column]))
                .collect();
            Series {
                sweep: sweep.name,
                parameter: sweep.parameter,
                quantity,
                fit: fit(&points),
                points,
            }
        });
    series.collect()
}

/// Fits a line by least squares; the line is constant if all sizes are the same.
pub fn fit(points: &[(f64, f64)]) -> Fit {
    let count = points.len().max(1) as f64;
    let mean = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let (gradient, intercept) = linear_regression_of(points).unwrap_or((0.0, mean));
    let squared_residuals = points
        .iter()
        .map(|(x, y)| (y - intercept - gradient * x).powi(2));
    let root_mean_square = (squared_residuals.sum::<f64>() / count).sqrt();
    let residual_ratio = if mean == 0.0 {
        0.0
    } else {
        root_mean_square / mean.abs()
    };
    Fit {
        gradient,
        intercept,
        residual_ratio,
    }
}
