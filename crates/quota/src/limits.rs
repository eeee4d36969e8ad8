//! What one zone's issuer may grant of a cap.

use std::time::Duration;

use model::UsageCap;
use serde::Serialize;

/// Length of the window of the bound that callers' contracts state.
pub(crate) const WINDOW: Duration = Duration::from_secs(5);
/// Ratio by which the requests of a window may exceed the cap, from the stated bound.
const BOUND_SLACK_RATIO: f64 = 0.25;
/// Requests by which a window may exceed the cap, from the stated bound.
const BOUND_SLACK_COUNT: f64 = 20.0;
/// Time after its question from which on an answer is not used; also the time for which a permit
/// granted to a waiting request stays valid. The bound leaves half a second's rate for it.
pub(crate) const TRANSIT_MAX: Duration = Duration::from_millis(500);
/// Time for which two instances may issue for one zone until gossip has converged; the bound leaves
/// a zone's rate over it.
const OVERLAP_S: f64 = 2.0;
/// Zones among which a cap is divided at most. Each bucket holds one permit beyond its part of the
/// burst, and the bound leaves 20 requests for these, transit, overlap and the reserve.
pub(crate) const PARTS_MAX_COUNT: usize = 8;
/// Range of rates and bursts with which the arithmetic stays exact enough; beyond it a cap means
/// the nearest bound.
const CAP_RANGE: [f64; 2] = [1e-6, 1e9];

/// A zone's part of a cap.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Limits {
    /// Permits per second.
    pub per_s: f64,
    /// Permits that the bucket holds: the part of the burst and one more. Without it, the fractions
    /// of a permit that stay in each bucket would be missing from the cap, and a bucket with less
    /// than one permit could grant none.
    pub bucket_max_count: f64,
    /// Prefetched permits that may be held at the same time.
    pub reserve_count: u32,
}

/// Returns the part of a zone if a cap is divided among `parts_count` zones.
pub fn limits(cap: &UsageCap, parts_count: usize) -> Limits {
    let parts = parts_count.max(1) as f64;
    let [min, max] = CAP_RANGE;
    let per_s = cap.per_s.clamp(min, max);
    let burst_count = cap.burst_count.clamp(0.0, max);
    let slack_count =
        BOUND_SLACK_RATIO * (WINDOW.as_secs_f64() * per_s + burst_count) + BOUND_SLACK_COUNT;
    let transit_count = TRANSIT_MAX.as_secs_f64() * per_s;
    let overlap_count = (OVERLAP_S * per_s + burst_count) / parts + 1.0;
    let reserve_count = slack_count - transit_count - overlap_count - parts;
    Limits {
        per_s: per_s / parts,
        bucket_max_count: burst_count / parts + 1.0,
        // A float-to-integer conversion saturates, and turns a negative number into zero.
        reserve_count: (reserve_count / parts) as u32,
    }
}
