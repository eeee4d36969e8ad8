//! The queue and the concurrency limit of one front.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{Priority, QueryKey};
use serde::Serialize;

/// The newest sample has a weight of one in this many in an exponentially weighted moving average.
const MEAN_WEIGHT_DIVISOR: u32 = 16;
/// A sample is clipped to this many times the mean, so that a pause of the process is not taken for
/// slow queries.
const MEAN_CLIP_FACTOR: u32 = 4;
/// A query starts only if at least this many mean run times are left until its deadline.
const RUN_TIME_FACTOR: u32 = 3;
/// Upper bound of the time that must be left until the deadline, however long other queries took.
/// Without it, a period of slow answers would cause every query to be refused, and the mean run
/// time could never fall again.
const REQUIRED_TIME_MAX: Duration = Duration::from_millis(100);
/// Urgent queries may raise the number of running ones to this many times the limit, because
/// targets execute their calls before those of lower priorities.
const URGENT_LIMIT_FACTOR: u32 = 2;

/// The running and queued queries of one front.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct FrontQueue {
    /// Queries that may run concurrently; urgent ones may exceed it.
    pub limit_count: u32,
    /// Queries that run at present.
    pub running_count: u32,
    /// Queued queries: one FIFO queue per priority, the most urgent first.
    pub queues: [VecDeque<QueuedQuery>; 3],
    /// Queries started since the last deferrable one.
    pub since_deferrable_count: u32,
    /// Moving average of the time that a query runs; zero before the first one has ended.
    #[serde(rename = "mean_run")]
    pub mean_run_time: Duration,
    /// Moving average of the time between two completions while the limit is reached.
    #[serde(rename = "mean_gap")]
    pub mean_completion_interval: Duration,
    /// When the last query ended, if the limit was reached then.
    #[serde(skip)]
    pub last_end_at: Option<Instant>,
}

/// A queued query.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct QueuedQuery {
    /// The query.
    pub key: QueryKey,
    /// When its answer must be sent.
    #[serde(skip)]
    pub deadline: Instant,
}

/// Returns whether the concurrency limit lets a query of this priority start now.
pub(crate) fn has_capacity(front_queue: &FrontQueue, priority: Priority) -> bool {
    let limit_count = match priority {
        Priority::Urgent => front_queue.limit_count.saturating_mul(URGENT_LIMIT_FACTOR),
        Priority::Normal | Priority::Deferrable => front_queue.limit_count,
    };
    front_queue.running_count < limit_count
}

/// Returns whether the front has neither running nor queued queries.
pub fn is_idle(front_queue: &FrontQueue) -> bool {
    front_queue.running_count == 0 && queued_count(front_queue) == 0
}

pub(crate) fn queued_count(front_queue: &FrontQueue) -> usize {
    front_queue.queues.iter().map(VecDeque::len).sum()
}

/// Estimates whether a new query would be answered before its deadline.
///
/// A deferrable query may spend all its time in the queue but for what it needs to run. Any other
/// query may spend half of it, because an answer at the last moment is of no use to its caller.
pub(crate) fn can_meet_deadline(
    front_queue: &FrontQueue,
    now: Instant,
    priority: Priority,
    deadline: Instant,
) -> bool {
    let queues = &front_queue.queues[..=priority as usize];
    let ahead_count: usize = queues.iter().map(VecDeque::len).sum();
    let ahead_count = u32::try_from(ahead_count).unwrap_or(u32::MAX);
    let wait = front_queue
        .mean_completion_interval
        .saturating_mul(ahead_count + 1);
    let time_left = deadline.saturating_duration_since(now);
    let permitted = match priority {
        Priority::Urgent | Priority::Normal => time_left / 2,
        Priority::Deferrable => time_left,
    };
    wait <= permitted && has_time_to_run(front_queue, now + wait, deadline)
}

/// Estimates whether a query that starts now would end before its deadline.
pub(crate) fn has_time_to_run(front_queue: &FrontQueue, now: Instant, deadline: Instant) -> bool {
    let needed = (front_queue.mean_run_time * RUN_TIME_FACTOR).min(REQUIRED_TIME_MAX);
    deadline.saturating_duration_since(now) >= needed
}

/// Counts a query as no longer running after it has ended, and updates the averages.
pub(crate) fn record_completion(front_queue: &mut FrontQueue, now: Instant, run_time: Duration) {
    let was_full = front_queue.running_count >= front_queue.limit_count;
    front_queue.running_count = front_queue.running_count.saturating_sub(1);
    update_mean(&mut front_queue.mean_run_time, run_time);
    if let Some(last_end_at) = front_queue.last_end_at
        && was_full
    {
        update_mean(&mut front_queue.mean_completion_interval, now - last_end_at);
    }
    front_queue.last_end_at = was_full.then_some(now);
}

/// Removes the newest query of the lowest priority below the given one.
pub(crate) fn evict_lower_priority(
    front_queue: &mut FrontQueue,
    priority: Priority,
) -> Option<QueryKey> {
    let lower = &mut front_queue.queues[priority as usize + 1..];
    let evicted = lower.iter_mut().rev().find_map(VecDeque::pop_back)?;
    Some(evicted.key)
}

/// Removes the query to start next.
///
/// A deferrable query comes first once `deferrable_share_count` others have been started in a row.
pub(crate) fn pop(
    front_queue: &mut FrontQueue,
    deferrable_share_count: u32,
) -> Option<QueuedQuery> {
    let [urgent, normal, deferrable] = &mut front_queue.queues;
    if front_queue.since_deferrable_count >= deferrable_share_count {
        front_queue.since_deferrable_count = 0;
        if let Some(queued) = deferrable.pop_front() {
            return Some(queued);
        }
    }
    if let Some(queued) = urgent.pop_front().or_else(|| normal.pop_front()) {
        front_queue.since_deferrable_count += 1;
        return Some(queued);
    }
    front_queue.since_deferrable_count = 0;
    deferrable.pop_front()
}

fn update_mean(mean: &mut Duration, sample: Duration) {
    if mean.is_zero() {
        *mean = sample;
        return;
    }
    let clipped = sample.min(*mean * MEAN_CLIP_FACTOR);
    *mean = (*mean * (MEAN_WEIGHT_DIVISOR - 1) + clipped) / MEAN_WEIGHT_DIVISOR;
}
