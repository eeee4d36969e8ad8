//! Named results and the format of the file that stores them.

use std::{collections::BTreeMap, fmt};

use crate::sweep::Series;

/// Significant digits of a result.
const SIGNIFICANT_DIGITS_COUNT: i32 = 3;
/// Smaller absolute values are rounding errors of the linear fit and are written as 0.
const ZERO_THRESHOLD: f64 = 1e-9;

/// Formatted values by name; written as lines of the form `name=value`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Results(pub BTreeMap<String, String>);

/// Adds every point of a series and the coefficients of its fit.
pub fn add_series(results: &mut Results, series: &Series) {
    let name = format!("{}.{}", series.sweep, series.quantity);
    for &(size, value) in &series.points {
        add(results, &format!("{name}.at_{size}"), value);
    }
    add(results, &format!("{name}.gradient"), series.fit.gradient);
    add(results, &format!("{name}.intercept"), series.fit.intercept);
    add(
        results,
        &format!("{name}.residual_ratio"),
        series.fit.residual_ratio,
    );
}

/// Adds a value, rounded to the significant digits.
pub fn add(results: &mut Results, name: &str, value: f64) {
    results.0.insert(name.to_owned(), format_value(value));
}

/// Formats a value with three significant digits, without trailing zeros.
pub fn format_value(value: f64) -> String {
    if value.abs() < ZERO_THRESHOLD {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals_count = SIGNIFICANT_DIGITS_COUNT - 1 - magnitude;
    if decimals_count >= 0 {
        return trim_trailing_zeros(&format!("{value:.*}", decimals_count as usize));
    }
    let step = 10f64.powi(-decimals_count);
    format!("{:.0}", (value / step).round() * step)
}

fn trim_trailing_zeros(text: &str) -> String {
    if !text.contains('.') {
        return text.to_owned();
    }
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

impl fmt::Display for Results {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|(name, value)| writeln!(f, "{name}={value}"))
    }
}

/// Parses the file format; lines without `=` are ignored.
pub fn parse(text: &str) -> Results {
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    Results(
        pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
    )
}

/// Formats a series as one line of `key=value` pairs.
pub fn format_series(series: &Series) -> String {
    let points: Vec<String> = series
        .points
        .iter()
        .map(|&(size, value)| format!("at_{size}={}", format_value(value)))
        .collect();
    let fit = &series.fit;
    format!(
        "sweep={} size={} quantity={} {} gradient={} intercept={} residual_ratio={}",
        series.sweep,
        series.parameter,
        series.quantity,
        points.join(" "),
        format_value(fit.gradient),
        format_value(fit.intercept),
        format_value(fit.residual_ratio),
    )
}
