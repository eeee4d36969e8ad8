//! Own evidence about a target.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{AttemptKey, FrontKey, SlotLoad};
use serde::Serialize;
use slotmap::SecondaryMap;

use crate::latency::LatencyEstimate;

/// Weight of one ended attempt in the share of failures; about the last five attempts count.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time for which a target is avoided after a connection to it failed; doubled by every further one.
const BACKOFF_MIN: Duration = Duration::from_millis(250);
/// Longest time for which a target is avoided; a target that starts again is back after seconds.
const BACKOFF_MAX: Duration = Duration::from_millis(2_000);
/// Doublings of the time until the longest one is reached.
const BACKOFF_DOUBLINGS_MAX: u32 = 3;
/// Requests of one second to a cold target that are remembered.
const COLD_RATE_WINDOW: Duration = Duration::from_millis(1_100);

/// What this instance has seen of a target.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Health {
    /// Time until a reply, for each front.
    pub latency: SecondaryMap<FrontKey, LatencyEstimate>,
    /// Attempts that have not ended, each of which occupies a connection.
    #[serde(rename = "running")]
    pub in_flight: Vec<AttemptKey>,
    /// Share of attempts that failed, the last ones weighing most.
    pub failures_ratio: f64,
    /// When it last replied.
    #[serde(skip)]
    pub last_reply_at: Option<Instant>,
    /// Connections in a row that failed.
    #[serde(rename = "refusals_count")]
    pub consecutive_unreachable_count: u32,
    /// Whether another target has its address; final, because a new process has a new key.
    pub is_replaced: bool,
    /// Until when others are preferred.
    #[serde(skip)]
    pub backoff_until: Option<Instant>,
    /// The load that it stated last, and when.
    #[serde(skip)]
    pub load: Option<(SlotLoad, Instant)>,
    /// When requests were sent while it was cold.
    #[serde(skip)]
    pub cold_requests_at: VecDeque<Instant>,
}

/// Notes that an attempt succeeded or that the target declined it without fault.
pub(crate) fn record_success(health: &mut Health) {
    health.failures_ratio *= 1.0 - FAILURE_WEIGHT;
    health.consecutive_unreachable_count = 0;
    health.backoff_until = None;
}

/// Notes that an attempt failed.
pub(crate) fn record_failure(health: &mut Health) {
    health.failures_ratio += (1.0 - health.failures_ratio) * FAILURE_WEIGHT;
}

/// Notes that no connection could be opened, or that nothing came back.
pub(crate) fn record_unreachable(health: &mut Health, now: Instant) {
    let doublings = health
        .consecutive_unreachable_count
        .min(BACKOFF_DOUBLINGS_MAX);
    health.consecutive_unreachable_count = health.consecutive_unreachable_count.saturating_add(1);
    let backoff = (BACKOFF_MIN * 2_u32.pow(doublings)).min(BACKOFF_MAX);
    health.backoff_until = Some(now + backoff);
}

/// Tells whether others are preferred at present because the target could not be reached.
pub fn is_avoided(health: &Health, now: Instant) -> bool {
    health.backoff_until.is_some_and(|until| now < until)
}

/// Tells whether the target has not been reached since it last failed to reply.
pub(crate) fn is_unreachable(health: &Health) -> bool {
    health.is_replaced || health.consecutive_unreachable_count > 0
}

/// Forgets that the target could not be reached.
pub(crate) fn reset_backoff(health: &mut Health) {
    health.consecutive_unreachable_count = 0;
    health.backoff_until = None;
}

/// Returns how many requests were sent to the target in the last second of its cold start.
pub(crate) fn cold_requests_count(health: &Health, now: Instant) -> usize {
    let sent = health.cold_requests_at.iter();
    sent.filter(|&&at| now < at + COLD_RATE_WINDOW).count()
}

/// Notes a request to the target while it is cold.
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
