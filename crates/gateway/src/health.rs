//! Health of a target as observed by this instance.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{AttemptKey, FrontKey};
use serde::Serialize;
use slotmap::SecondaryMap;

use crate::{latency::LatencyEstimate, load::TargetLoad, rate_limit::RateLimit};

/// Weight of an attempt in the moving average of failures; about the last five attempts count.
const FAILURE_WEIGHT: f64 = 0.2;
/// Backoff after a target could not be reached; doubled by every further failure in a row.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Maximum backoff; a target that restarts is back within seconds.
const BACKOFF_MAX: Duration = Duration::from_millis(2_000);
/// Number of doublings until the maximum backoff is reached.
const BACKOFF_DOUBLINGS_MAX: u32 = 3;
/// Window over which requests to a target in cold start are counted: one second, and a margin.
const COLD_RATE_WINDOW: Duration = Duration::from_millis(1_100);

/// Health of a target as observed by this instance.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Health {
    /// Reply latency for each front.
    pub latency: SecondaryMap<FrontKey, LatencyEstimate>,
    /// Attempts in flight, each of which occupies a connection.
    #[serde(rename = "running")]
    pub in_flight: Vec<AttemptKey>,
    /// Moving average of failed attempts, from 0 to 1.
    pub failures_ratio: f64,
    /// Arrival of the last reply, whatever its status, except from another target at its address.
    #[serde(skip)]
    pub last_reply_at: Option<Instant>,
    /// Failed connections and silence timeouts since the last successful reply.
    #[serde(rename = "refusals_count")]
    pub consecutive_unreachable_count: u32,
    /// Whether another target now has its address. Never reset, because a new process has a new
    /// key.
    pub is_replaced: bool,
    /// End of the backoff, during which other targets are preferred.
    #[serde(skip)]
    pub backoff_until: Option<Instant>,
    /// What it states about its load.
    pub load: TargetLoad,
    /// Until when it wants no requests from this instance, as it has stated.
    #[serde(skip)]
    pub paused_until: Option<Instant>,
    /// Rate limit that it names, if any.
    pub rate_limit: Option<RateLimit>,
    /// Times of the recent requests to it during its cold start, oldest first.
    #[serde(skip)]
    pub cold_requests_at: VecDeque<Instant>,
}

/// Records a successful attempt and ends the backoff.
pub(crate) fn record_success(health: &mut Health) {
    health.failures_ratio *= 1.0 - FAILURE_WEIGHT;
    health.consecutive_unreachable_count = 0;
    health.backoff_until = None;
}

/// Records a failed attempt.
pub(crate) fn record_failure(health: &mut Health) {
    health.failures_ratio += (1.0 - health.failures_ratio) * FAILURE_WEIGHT;
}

/// Records a failed connection or a silence timeout, and starts a backoff.
pub(crate) fn record_unreachable(health: &mut Health, now: Instant) {
    let doublings = health
        .consecutive_unreachable_count
        .min(BACKOFF_DOUBLINGS_MAX);
    health.consecutive_unreachable_count = health.consecutive_unreachable_count.saturating_add(1);
    let backoff = (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX);
    health.backoff_until = Some(now + backoff);
}

/// Returns whether a target is in backoff, so that others are preferred.
pub fn is_in_backoff(health: &Health, now: Instant) -> bool {
    health.backoff_until.is_some_and(|until| now < until)
}

/// Returns whether the target is replaced, or has not replied successfully since it could not be
/// reached.
pub(crate) fn is_unreachable(health: &Health) -> bool {
    health.is_replaced || health.consecutive_unreachable_count > 0
}

/// Ends the backoff and resets its length.
pub(crate) fn reset_backoff(health: &mut Health) {
    health.consecutive_unreachable_count = 0;
    health.backoff_until = None;
}

/// Returns the number of requests within the last [`COLD_RATE_WINDOW`] of a target's cold start.
pub(crate) fn cold_requests_count(health: &Health, now: Instant) -> usize {
    let sent = health.cold_requests_at.iter();
    sent.filter(|&&at| now < at + COLD_RATE_WINDOW).count()
}

/// Records a request to a target in cold start.
pub(crate) fn record_cold_request(health: &mut Health, now: Instant) {
    while health
        .cold_requests_at
        .front()
        .is_some_and(|&at| now >= at + COLD_RATE_WINDOW)
    {
        health.cold_requests_at.pop_front();
    }
    health.cold_requests_at.push_back(now);
}
