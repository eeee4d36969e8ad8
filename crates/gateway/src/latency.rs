//! Running estimate of reply latency.

use std::time::Duration;

use serde::Serialize;

/// Smoothing weight of a new reply once the estimate has settled; about the last ten replies count.
const SMOOTHING_WEIGHT_MIN: f64 = 0.1;
/// Latencies are capped at this multiple of the mean, so that a single pause of a target does not
/// distort its estimate.
const OUTLIER_CAP_FACTOR: f64 = 3.0;
/// Mean absolute deviations beyond the mean after which a reply is late: 3.2 standard deviations of
/// a normal distribution.
const LATE_DEVIATIONS: f64 = 4.0;
/// Minimum margin beyond the mean after which a reply is late: twice the resolution of timers.
const LATE_MARGIN_MIN_MS: f64 = 2.0;

/// Moving mean and mean deviation of the latency of successful replies.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct LatencyEstimate {
    /// Moving mean.
    pub mean_ms: f64,
    /// Mean absolute deviation from the mean.
    pub deviation_ms: f64,
    /// Number of replies so far; the other fields are meaningless while it is 0.
    pub replies_count: u32,
}

/// Updates an estimate with the latency of a successful reply.
pub fn observe(estimate: &mut LatencyEstimate, took: Duration) {
    let mut took_ms = took.as_secs_f64() * 1000.0;
    if estimate.replies_count == 0 {
        *estimate = LatencyEstimate {
            mean_ms: took_ms,
            deviation_ms: took_ms / 2.0,
            replies_count: 1,
        };
        return;
    }
    took_ms = took_ms.min(estimate.mean_ms * OUTLIER_CAP_FACTOR + LATE_MARGIN_MIN_MS);
    estimate.replies_count = estimate.replies_count.saturating_add(1);
    let weight = SMOOTHING_WEIGHT_MIN.max(1.0 / f64::from(estimate.replies_count));
    let difference_ms = took_ms - estimate.mean_ms;
    estimate.mean_ms += weight * difference_ms;
    estimate.deviation_ms += weight * (difference_ms.abs() - estimate.deviation_ms);
}

/// Returns the time after which a reply is late.
pub fn late_after(estimate: &LatencyEstimate) -> Duration {
    upper_bound(estimate, LATE_DEVIATIONS)
}

/// Returns the mean plus a number of mean deviations or the minimum margin, whichever is larger.
pub fn upper_bound(estimate: &LatencyEstimate, deviations: f64) -> Duration {
    let margin_ms = (estimate.deviation_ms * deviations).max(LATE_MARGIN_MIN_MS);
    Duration::from_secs_f64((estimate.mean_ms + margin_ms) / 1000.0)
}
