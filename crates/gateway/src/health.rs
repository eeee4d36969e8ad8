//! Own evidence about a target.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{AttemptKey, FrontKey, SlotLoad};
use serde::Serialize;
use slotmap::SecondaryMap;

use crate::estimate::Estimate;

/// Weight of one ended attempt in the share of failures; about the last five attempts count.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time for which a target is avoided after a connection to it failed; doubled by every further one.
const AVOID_MIN: Duration = Duration::from_millis(250);
/// Longest time for which a target is avoided; a target that starts again is back after seconds.
const AVOID_MAX: Duration = Duration::from_millis(2_000);
/// Doublings of the time until the longest one is reached.
const AVOID_DOUBLINGS_MAX: u32 = 3;
/// Requests of one second to a cold target that are remembered.
const COLD_WINDOW: Duration = Duration::from_millis(1_100);

/// What this instance has seen of a target.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Health {
    /// Time until a reply, for each front.
    pub latency: SecondaryMap<FrontKey, Estimate>,
    /// Attempts that have not ended, each of which occupies a connection.
    pub running: Vec<AttemptKey>,
    /// Share of attempts that failed, the last ones weighing most.
    pub failures_ratio: f64,
    /// When it last replied.
    #[serde(skip)]
    pub replied_at: Option<Instant>,
    /// Connections in a row that failed.
    pub refusals_count: u32,
    /// Whether another target has its address; final, because a new process has a new key.
    pub is_replaced: bool,
    /// Until when others are preferred.
    #[serde(skip)]
    pub avoid_until: Option<Instant>,
    /// The load that it stated last, and when.
    #[serde(skip)]
    pub load: Option<(SlotLoad, Instant)>,
    /// When requests were sent while it was cold.
    #[serde(skip)]
    pub cold_sent_at: VecDeque<Instant>,
}

/// Notes that an attempt succeeded or that the target declined it without fault.
pub(crate) fn succeeded(health: &mut Health) {
    health.failures_ratio *= 1.0 - FAILURE_WEIGHT;
    health.refusals_count = 0;
    health.avoid_until = None;
}

/// Notes that an attempt failed.
pub(crate) fn failed(health: &mut Health) {
    health.failures_ratio += (1.0 - health.failures_ratio) * FAILURE_WEIGHT;
}

/// Notes that no connection could be opened, or that nothing came back.
pub(crate) fn unreachable(health: &mut Health, now: Instant) {
    let doublings = health.refusals_count.min(AVOID_DOUBLINGS_MAX);
    health.refusals_count = health.refusals_count.saturating_add(1);
    let avoid = (AVOID_MIN * 2_u32.pow(doublings)).min(AVOID_MAX);
    health.avoid_until = Some(now + avoid);
}

/// Tells whether others are preferred at present because the target could not be reached.
pub fn is_avoided(health: &Health, now: Instant) -> bool {
    health.avoid_until.is_some_and(|until| now < until)
}

/// Tells whether the target has not been reached since it last failed to reply.
pub(crate) fn is_unreached(health: &Health) -> bool {
    health.is_replaced || health.refusals_count > 0
}

/// Forgets that the target could not be reached.
pub(crate) fn forgive(health: &mut Health) {
    health.refusals_count = 0;
    health.avoid_until = None;
}

/// Returns how many requests were sent to the target in the last second of its cold start.
pub(crate) fn cold_sent_count(health: &Health, now: Instant) -> usize {
    let sent = health.cold_sent_at.iter();
    sent.filter(|&&at| now < at + COLD_WINDOW).count()
}

/// Notes a request to the target while it is cold.
pub(crate) fn sent_cold(health: &mut Health, now: Instant) {
    while health
        .cold_sent_at
        .front()
        .is_some_and(|&at| now >= at + COLD_WINDOW)
    {
        health.cold_sent_at.pop_front();
    }
    health.cold_sent_at.push_back(now);
}
