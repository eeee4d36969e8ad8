//! Latency statistics of a service.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Lower bound of the histogram; shorter latencies are recorded as this.
const LOWEST_US: u64 = 16;
/// Upper bound of the histogram; longer latencies are recorded as this.
const HIGHEST_US: u64 = 60_000_000;
/// Precision of the histogram, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Number of samples between two updates of the quantiles.
const REFRESH_SAMPLE_COUNT: u64 = 256;
/// Number of samples after which the histogram is reset, so that the quantiles follow changes.
const WINDOW_SAMPLE_COUNT: u64 = 4096;
/// Number of samples before the first quantiles are computed.
const MIN_SAMPLE_COUNT: u64 = 64;

/// Latency histogram of one service and the quantiles derived from it.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Latency {
    #[serde(skip)]
    histogram: Histogram<u32>,
    /// Median latency; zero until enough samples were recorded.
    pub median: Duration,
    /// Age from which on a call is late; `None` until enough samples were recorded.
    pub late_after: Option<Duration>,
}

impl Default for Latency {
    fn default() -> Latency {
        let histogram = Histogram::new_with_bounds(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS);
        Latency {
            histogram: histogram.expect("the bounds are constant and valid"),
            median: Duration::ZERO,
            late_after: None,
        }
    }
}

/// Records the latency of a call, or the age of a late call that is cancelled, for example because
/// a hedged call was faster.
///
/// Without the cancelled calls the quantile would drift downwards, because every hedge would remove
/// a late call from the statistics.
pub fn record(latency: &mut Latency, elapsed: Duration, late_ratio: f64) {
    let elapsed_us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    latency
        .histogram
        .saturating_record(elapsed_us.clamp(LOWEST_US, HIGHEST_US));
    let count = latency.histogram.len();
    let is_first = count == MIN_SAMPLE_COUNT && latency.late_after.is_none();
    if is_first || count.is_multiple_of(REFRESH_SAMPLE_COUNT) {
        refresh(latency, late_ratio);
    }
    if count >= WINDOW_SAMPLE_COUNT {
        latency.histogram.reset();
    }
}

fn refresh(latency: &mut Latency, late_ratio: f64) {
    let quantile = |ratio| Duration::from_micros(latency.histogram.value_at_quantile(ratio));
    latency.median = quantile(0.5);
    latency.late_after = Some(quantile(late_ratio));
}
