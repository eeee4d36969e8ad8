//! A running estimate of how long replies take.

use std::time::Duration;

use serde::Serialize;

/// Weight of a new reply once the estimate has settled; about the last ten replies count.
const SMOOTHING_WEIGHT_MIN: f64 = 0.1;
/// A reply longer than this multiple of the mean counts as if it had taken this long, so that a
/// single pause of a target does not count as its usual speed.
const OUTLIER_CAP_FACTOR: f64 = 3.0;
/// Mean deviations beyond the mean after which a reply is late: 3.2 standard deviations of a normal
/// distribution.
const LATE_DEVIATIONS: f64 = 4.0;
/// Least time beyond the mean after which a reply is late: the grain of timers, twice.
const LATE_MARGIN_MIN_MS: f64 = 2.0;

/// Mean and mean deviation of the time until a reply.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct LatencyEstimate {
    /// Mean.
    pub mean_ms: f64,
    /// Mean absolute deviation from the mean.
    pub deviation_ms: f64,
    /// Replies so far.
    pub replies_count: u32,
}

/// Takes in the time until one reply.
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

/// Returns the time within which most replies come, a number of mean deviations beyond the mean.
pub fn upper_bound(estimate: &LatencyEstimate, deviations: f64) -> Duration {
    let margin_ms = (estimate.deviation_ms * deviations).max(LATE_MARGIN_MIN_MS);
    Duration::from_secs_f64((estimate.mean_ms + margin_ms) / 1000.0)
}
