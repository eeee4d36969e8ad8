//! This instance's share of the limits that all instances have in common: retry budget, requests to
//! targets in cold start, and connections.

use std::time::{Duration, Instant};

use serde::Serialize;

/// Length of a bucket of the retry budget.
const BUCKET_DURATION: Duration = Duration::from_secs(1);
/// Longest window that the buckets cover, in seconds.
const MAX_WINDOW_S: f64 = 14.0;
/// Number of buckets; enough for the longest window of 14 s and a bucket that is only partly within
/// it.
const BUCKETS_COUNT: usize = 16;
/// Fraction of the permitted retry ratio that is used; the rest covers the granularity of the
/// buckets.
const RETRY_RATIO_SAFETY_FACTOR: f64 = 0.9;
/// Fraction of the retry constant and of the cold-start rate that is used; the rest covers new
/// instances that others do not count yet.
const CONSTANT_SAFETY_FACTOR: f64 = 0.7;
/// Fraction of the retry budget that hedges may use; the rest is reserved for retries.
const HEDGE_SHARE_RATIO: f64 = 0.8;
/// Fraction of a target's connection limit that all instances together use.
const CONNECTIONS_SAFETY_FACTOR: f64 = 0.9;
/// Share of the limits that is assumed while the number of instances is unknown.
const ASSUMED_SHARE_RATIO: f64 = 1.0 / 16.0;

/// Retry budget of a service: its requests and extra calls, counted in buckets of time.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct RetryBudget {
    buckets: [Bucket; BUCKETS_COUNT],
    /// Start of the first bucket.
    #[serde(skip)]
    epoch: Option<Instant>,
}

#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
struct Bucket {
    /// Number of the bucket, see [`bucket_number`]; 0 if it has never been used.
    number: u64,
    requests_count: u32,
    extra_count: u32,
}

/// Kind of an extra call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExtraCall {
    /// The previous attempt failed, or the part waited for a connection.
    Retry,
    /// The reply to the previous attempt is late.
    Hedge,
}

/// Counts a request that needs the service.
pub(crate) fn record_request(budget: &mut RetryBudget, now: Instant) {
    bucket(budget, now).requests_count += 1;
}

/// Counts a retry or a hedge.
pub(crate) fn record_extra_call(budget: &mut RetryBudget, now: Instant) {
    bucket(budget, now).extra_count += 1;
}

/// Returns whether one more extra call stays within this instance's share of the retry budget.
///
/// Every instance applies the ratio to the requests that it has received itself and uses its share
/// of the constant, so the sum over all instances is within the limit without coordination.
pub fn allows_extra_call(
    settings: &settings::Gateway,
    budget: &RetryBudget,
    share_ratio: Option<f64>,
    now: Instant,
    is_hedge: bool,
) -> bool {
    // Without an epoch nothing has been counted yet.
    let number = bucket_number(budget.epoch.unwrap_or(now), now);
    let window_s = settings.retry_window.as_secs_f64().ceil().max(1.0);
    // The conversion is exact: the number is small and whole.
    let window_count = window_s.min(MAX_WINDOW_S) as u64;
    let recent = |buckets_count: u64| {
        let buckets = budget.buckets.iter();
        buckets
            .filter(move |bucket| bucket.number + buckets_count > number && bucket.number <= number)
    };
    let requests: u32 = recent(window_count)
        .map(|bucket| bucket.requests_count)
        .sum();
    let extra: u32 = recent(window_count + 1)
        .map(|bucket| bucket.extra_count)
        .sum();
    let constant = f64::from(settings.retry_constant_count) * CONSTANT_SAFETY_FACTOR;
    // Of a window that is longer than the buckets, only the part that they cover is used.
    let constant = constant * (MAX_WINDOW_S / window_s).min(1.0);
    let constant = share_ratio.map_or(0.0, |ratio| constant * ratio);
    let mut allowed =
        settings.retry_ratio * RETRY_RATIO_SAFETY_FACTOR * f64::from(requests) + constant;
    if is_hedge {
        allowed *= HEDGE_SHARE_RATIO;
    }
    f64::from(extra) + 1.0 <= allowed
}

/// Returns the number of requests per second that this instance may send to a target in cold start.
pub(crate) fn cold_max_per_s(
    settings: &settings::Gateway,
    cold_max_per_s: f64,
    share_ratio: Option<f64>,
) -> f64 {
    let all = cold_max_per_s * settings.cold_factor + f64::from(settings.cold_constant_count);
    all * CONSTANT_SAFETY_FACTOR * share_ratio.unwrap_or(ASSUMED_SHARE_RATIO)
}

/// Returns the number of connections that this instance may have to a target; at least one.
pub(crate) fn connections_max_count(limit_count: u32, share_ratio: Option<f64>) -> usize {
    let ratio = share_ratio.unwrap_or(ASSUMED_SHARE_RATIO);
    let share = f64::from(limit_count) * CONNECTIONS_SAFETY_FACTOR * ratio;
    // Conversion from float to integer saturates.
    (share as usize).max(1)
}

fn bucket(budget: &mut RetryBudget, now: Instant) -> &mut Bucket {
    let epoch = *budget.epoch.get_or_insert(now);
    let number = bucket_number(epoch, now);
    let index = usize::try_from(number).unwrap_or(usize::MAX) % BUCKETS_COUNT;
    let bucket = &mut budget.buckets[index];
    if bucket.number != number {
        *bucket = Bucket {
            number,
            ..Bucket::default()
        };
    }
    bucket
}

/// Returns the number of the bucket that contains a time, counted from 1.
fn bucket_number(epoch: Instant, now: Instant) -> u64 {
    1 + now.saturating_duration_since(epoch).as_secs() / BUCKET_DURATION.as_secs()
}
