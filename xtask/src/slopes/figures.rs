//! Figures: named values, and the file that holds them.

use std::{collections::BTreeMap, fmt};

use crate::sweep::Slope;

/// Significant digits of a figure.
const DIGITS_COUNT: i32 = 3;
/// Values below this are rounding errors of the fit.
const SMALLEST_SHOWN: f64 = 1e-9;

/// Values by name, in the form in which they are printed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Figures(pub BTreeMap<String, String>);

/// Adds every point of a slope and its line.
pub fn add_slope(figures: &mut Figures, slope: &Slope) {
    let name = format!("{}.{}", slope.sweep, slope.quantity);
    for &(size, value) in &slope.points {
        add(figures, &format!("{name}.at_{size}"), value);
    }
    add(figures, &format!("{name}.gradient"), slope.fit.gradient);
    add(figures, &format!("{name}.intercept"), slope.fit.intercept);
    add(
        figures,
        &format!("{name}.residual_ratio"),
        slope.fit.residual_ratio,
    );
}

/// Adds one value.
pub fn add(figures: &mut Figures, name: &str, value: f64) {
    figures.0.insert(name.to_owned(), shown(value));
}

/// Returns a value with the digits that a reader needs.
pub fn shown(value: f64) -> String {
    if value.abs() < SMALLEST_SHOWN {
        return "0".to_owned();
    }
    let magnitude = value.abs().log10().floor() as i32;
    let decimals_count = DIGITS_COUNT - 1 - magnitude;
    if decimals_count >= 0 {
        return trimmed(&format!("{value:.*}", decimals_count as usize));
    }
    let step = 10f64.powi(-decimals_count);
    format!("{:.0}", (value / step).round() * step)
}

fn trimmed(text: &str) -> String {
    if !text.contains('.') {
        return text.to_owned();
    }
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|(name, value)| writeln!(f, "{name}={value}"))
    }
}

/// Reads figures from their printed form; lines of another form are comments.
pub fn read(text: &str) -> Figures {
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    Figures(
        pairs
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
    )
}

/// Returns a slope on one line.
pub fn line(slope: &Slope) -> String {
    let points: Vec<String> = slope
        .points
        .iter()
        .map(|&(size, value)| format!("at_{size}={}", shown(value)))
        .collect();
    let fit = &slope.fit;
    format!(
        "sweep={} size={} quantity={} {} gradient={} intercept={} residual_ratio={}",
        slope.sweep,
        slope.size,
        slope.quantity,
        points.join(" "),
        shown(fit.gradient),
        shown(fit.intercept),
        shown(fit.residual_ratio),
    )
}
