//! The queue of one front.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{Priority, QueryKey};
use serde::Serialize;

/// Weight of the newest sample in a mean is one in this many.
const MEAN_WEIGHT: u32 = 16;
/// One sample moves a mean as if it were at most this many times the mean, so that a pause of the
/// process does not pass for slow work.
const MEAN_CLIP: u32 = 4;
/// Time left that a start needs, in mean times of a run.
const RUN_MARGIN: u32 = 3;
/// Time left that is enough for a start however long other queries took: otherwise a time of slow
/// answers would refuse everything and never see a fast one again.
const RUN_MAX: Duration = Duration::from_millis(100);
/// Urgent queries may run beyond the limit, up to this many times it: calls of lower priority give
/// way to theirs at every target.
const URGENT_FACTOR: u32 = 2;

/// What runs and what waits on one front.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Lane {
    /// Queries that may run at the same time.
    pub limit_count: u32,
    /// Queries that run.
    pub running_count: u32,
    /// Waiting queries, one queue for each priority in order of importance.
    pub queues: [VecDeque<Waiting>; 3],
    /// Queries started since the last deferrable one.
    pub since_deferrable_count: u32,
    /// Mean time that a query runs.
    pub mean_run: Duration,
    /// Mean time between two ends of queries while the limit is reached.
    pub mean_gap: Duration,
    /// When the last query ended, if the limit was reached then.
    #[serde(skip)]
    pub last_end_at: Option<Instant>,
}

/// A query that waits.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct Waiting {
    /// The query.
    pub key: QueryKey,
    /// When its answer must leave.
    #[serde(skip)]
    pub deadline: Instant,
}

/// Tells whether a query of a priority may start now.
pub(crate) fn has_room(lane: &Lane, priority: Priority) -> bool {
    let limit_count = match priority {
        Priority::Urgent => lane.limit_count.saturating_mul(URGENT_FACTOR),
        Priority::Normal | Priority::Deferrable => lane.limit_count,
    };
    lane.running_count < limit_count
}

/// Tells whether nothing runs or waits.
pub fn is_idle(lane: &Lane) -> bool {
    lane.running_count == 0 && queued_count(lane) == 0
}

/// Returns the number of queries that wait.
pub(crate) fn queued_count(lane: &Lane) -> usize {
    lane.queues.iter().map(VecDeque::len).sum()
}

/// Tells whether a new query can be expected to be answered in time.
///
/// A deferrable query may spend its time in the queue, as long as enough is left to run; any other
/// may spend half of it, because its caller gains nothing from an answer at the last moment.
pub(crate) fn can_meet(lane: &Lane, now: Instant, priority: Priority, deadline: Instant) -> bool {
    let queues = &lane.queues[..=priority as usize];
    let ahead_count: usize = queues.iter().map(VecDeque::len).sum();
    let ahead_count = u32::try_from(ahead_count).unwrap_or(u32::MAX);
    let wait = lane.mean_gap.saturating_mul(ahead_count + 1);
    let time_left = deadline.saturating_duration_since(now);
    let permitted = match priority {
        Priority::Urgent | Priority::Normal => time_left / 2,
        Priority::Deferrable => time_left,
    };
    wait <= permitted && can_run(lane, now + wait, deadline)
}

/// Tells whether a query that starts now can be expected to end in time.
pub(crate) fn can_run(lane: &Lane, now: Instant, deadline: Instant) -> bool {
    let needed = (lane.mean_run * RUN_MARGIN).min(RUN_MAX);
    deadline.saturating_duration_since(now) >= needed
}

/// Notes the end of a query.
pub(crate) fn ended(lane: &mut Lane, now: Instant, ran_for: Duration) {
    let was_full = lane.running_count >= lane.limit_count;
    lane.running_count = lane.running_count.saturating_sub(1);
    average(&mut lane.mean_run, ran_for);
    if let Some(last_end_at) = lane.last_end_at
        && was_full
    {
        average(&mut lane.mean_gap, now - last_end_at);
    }
    lane.last_end_at = was_full.then_some(now);
}

/// Removes the newest query whose priority is lower than the given one.
pub(crate) fn evict_below(lane: &mut Lane, priority: Priority) -> Option<QueryKey> {
    let lower = &mut lane.queues[priority as usize + 1..];
    let evicted = lower.iter_mut().rev().find_map(VecDeque::pop_back)?;
    Some(evicted.key)
}

/// Takes the next query of all that wait.
///
/// After `deferrable_share_count` others, a deferrable one goes first.
pub(crate) fn pop(lane: &mut Lane, deferrable_share_count: u32) -> Option<Waiting> {
    let [urgent, normal, deferrable] = &mut lane.queues;
    if lane.since_deferrable_count >= deferrable_share_count {
        lane.since_deferrable_count = 0;
        if let Some(waiting) = deferrable.pop_front() {
            return Some(waiting);
        }
    }
    if let Some(waiting) = urgent.pop_front().or_else(|| normal.pop_front()) {
        lane.since_deferrable_count += 1;
        return Some(waiting);
    }
    lane.since_deferrable_count = 0;
    deferrable.pop_front()
}

fn average(mean: &mut Duration, sample: Duration) {
    if mean.is_zero() {
        *mean = sample;
        return;
    }
    let clipped = sample.min(*mean * MEAN_CLIP);
    *mean = (*mean * (MEAN_WEIGHT - 1) + clipped) / MEAN_WEIGHT;
}
