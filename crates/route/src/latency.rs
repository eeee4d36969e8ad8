//! How long the calls of a service take.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Shortest latency that is told apart, in microseconds.
const LOWEST_US: u64 = 16;
/// Longest latency that is told apart, in microseconds.
const HIGHEST_US: u64 = 60_000_000;
/// Significant decimal digits.
const DIGITS: u8 = 2;
/// Samples after which the quantiles are computed anew.
const REFRESH_COUNT: u64 = 256;
/// Samples after which the histogram starts afresh, so that it follows changes.
const WINDOW_COUNT: u64 = 4096;
/// Samples before which no quantile is used.
const FIRST_COUNT: u64 = 64;

/// Latencies of one service, and the quantiles that decisions use.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Latency {
    #[serde(skip)]
    histogram: Histogram<u32>,
    /// Half of the calls take less; zero until enough calls were seen.
    pub median: Duration,
    /// Age at which a call is late; `None` until enough calls were seen.
    pub late_after: Option<Duration>,
}

impl Default for Latency {
    fn default() -> Latency {
        let histogram = Histogram::new_with_bounds(LOWEST_US, HIGHEST_US, DIGITS);
        Latency {
            histogram: histogram.expect("the bounds are constant and valid"),
            median: Duration::ZERO,
            late_after: None,
        }
    }
}

/// Takes in how long a call took, or its age when it was cancelled as the loser of a hedge.
///
/// Without the losers the quantile would creep down: each hedge would hide a late call.
pub fn record(latency: &mut Latency, took: Duration, late_ratio: f64) {
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    latency
        .histogram
        .saturating_record(took_us.clamp(LOWEST_US, HIGHEST_US));
    let count = latency.histogram.len();
    let is_first = count == FIRST_COUNT && latency.late_after.is_none();
    if is_first || count.is_multiple_of(REFRESH_COUNT) {
        refresh(latency, late_ratio);
    }
    if count >= WINDOW_COUNT {
        latency.histogram.reset();
    }
}

fn refresh(latency: &mut Latency, late_ratio: f64) {
    let quantile = |ratio| Duration::from_micros(latency.histogram.value_at_quantile(ratio));
    latency.median = quantile(0.5);
    latency.late_after = Some(quantile(late_ratio));
}
