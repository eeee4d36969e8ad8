//! The report of a load, as a table, JSON and charts.

mod chart;
mod table;

use std::{collections::BTreeMap, fs, path::Path};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::{
    error::LoadError,
    options::Options,
    state::{OutcomeCounts, Second, State},
};

/// Quantiles that are reported.
const QUANTILES: [(&str, f64); 7] = [
    ("p50", 0.5),
    ("p75", 0.75),
    ("p90", 0.9),
    ("p95", 0.95),
    ("p99", 0.99),
    ("p99.9", 0.999),
    ("max", 1.0),
];

/// Results of a load; the field names are the keys of the JSON report.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Report {
    /// Configured mean arrival rate.
    pub rate_per_s: f64,
    /// Time from the start until the report was made, after the last answer.
    pub duration_ms: u64,
    /// Arrivals, including those that failed for lack of a ticket.
    pub sent_count: u64,
    /// Number of requests by outcome.
    #[serde(flatten)]
    pub outcomes: OutcomeCounts,
    /// Services in the answers over services that should have contributed; 1 without answers.
    pub coverage_ratio: f64,
    /// Hedged calls and retries over first calls; 0 without first calls.
    pub extra_load_ratio: f64,
    /// Time from the scheduled arrival to the answer.
    pub latency: Quantiles,
    /// Time from sending to the answer.
    pub service: Quantiles,
    /// Time of direct calls; absent if none were asked for.
    pub direct: Option<Quantiles>,
    /// Results by second since the start.
    pub seconds: Vec<SecondRow>,
    /// Latency by quantile, for the chart.
    #[serde(skip)]
    pub latency_curve: Vec<CurvePoint>,
}

/// Distribution of a duration.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Quantiles {
    /// Number of recorded durations.
    pub count: u64,
    /// Mean in microseconds.
    pub mean_us: f64,
    /// Microseconds by name of the quantile.
    pub quantiles_us: BTreeMap<&'static str, u64>,
}

/// Results of one second of the load.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct SecondRow {
    /// Answers, complete or partial.
    pub answers_count: u64,
    /// Requests that failed, were refused or are of unknown outcome.
    pub unanswered_count: u64,
    /// Services in the answers over services that should have contributed; 1 without answers.
    pub coverage_ratio: f64,
    /// Hedged calls and retries over first calls; 0 without first calls.
    pub extra_load_ratio: f64,
    /// Longest latency.
    pub latency_max_us: u64,
}

/// A point of the curve of latency by quantile.
#[derive(Clone, Copy, Debug)]
pub struct CurvePoint {
    /// Number of nines of the quantile: 1 is 90 %, 2 is 99 %.
    pub nines: f64,
    /// Latency at the quantile.
    pub latency_ms: f64,
}

/// Computes the report from the measurements.
pub fn build(options: &Options, state: &State) -> Report {
    let stats = &state.stats;
    let seconds: Vec<SecondRow> = stats.seconds.iter().map(second_row).collect();
    let sum = |value: fn(&Second) -> f64| stats.seconds.iter().map(value).sum();
    let answered: f64 = sum(|second| second.answered_count as f64);
    let total: f64 = sum(|second| second.total_count as f64);
    let primary: f64 = sum(|second| second.calls.primary_count);
    let extra: f64 = sum(|second| second.calls.hedge_count + second.calls.retry_count);
    Report {
        rate_per_s: options.rate_per_s,
        duration_ms: u64::try_from(state.started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        sent_count: state.schedule.arrivals_count,
        outcomes: stats.outcomes.clone(),
        coverage_ratio: ratio(answered, total, 1.0),
        extra_load_ratio: ratio(extra, primary, 0.0),
        latency: quantiles(&stats.latency),
        service: quantiles(&stats.service_time),
        direct: options.direct.map(|_| quantiles(&stats.direct)),
        seconds,
        latency_curve: latency_curve(&stats.latency),
    }
}

/// Prints the table unless quiet, and writes the JSON and SVG files that were asked for.
///
/// # Errors
///
/// Returns an error if a file cannot be written or the charts cannot be drawn.
pub fn write(options: &Options, report: &Report) -> Result<(), LoadError> {
    if !options.is_quiet {
        println!("{}", table::render(report));
    }
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(report).unwrap_or_default();
        write_file(path, &text)?;
    }
    if let Some(path) = &options.svg {
        write_file(path, &chart::draw(report)?)?;
    }
    Ok(())
}

fn write_file(path: &Path, text: &str) -> Result<(), LoadError> {
    let written = fs::write(path, text);
    written.map_err(|error| LoadError::Write(path.display().to_string(), error))
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let named = QUANTILES.iter();
    let named = named.map(|&(name, quantile)| (name, histogram.value_at_quantile(quantile)));
    Quantiles {
        count: histogram.len(),
        mean_us: histogram.mean(),
        quantiles_us: named.collect(),
    }
}

fn second_row(second: &Second) -> SecondRow {
    let calls = &second.calls;
    let extra = calls.hedge_count + calls.retry_count;
    SecondRow {
        answers_count: second.answers_count,
        unanswered_count: second.unanswered_count,
        coverage_ratio: ratio(second.answered_count as f64, second.total_count as f64, 1.0),
        extra_load_ratio: ratio(extra, calls.primary_count, 0.0),
        latency_max_us: second.latency_max_us,
    }
}

/// Returns the latency at 0 to 4 nines, in steps of a tenth.
fn latency_curve(histogram: &Histogram<u64>) -> Vec<CurvePoint> {
    let points = (0..=40).map(|tenth| {
        let nines = f64::from(tenth) / 10.0;
        let quantile = 1.0 - 10_f64.powf(-nines);
        CurvePoint {
            nines,
            latency_ms: histogram.value_at_quantile(quantile) as f64 / 1000.0,
        }
    });
    points.collect()
}

fn ratio(part: f64, whole: f64, fallback: f64) -> f64 {
    if whole > 0.0 { part / whole } else { fallback }
}
