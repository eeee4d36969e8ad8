//! Admission of new queries and the start of queued ones.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{Priority, QueryKey};
use serde::Serialize;

use crate::front_queue::{self, FrontQueue, QueuedQuery};

/// Admission state of all fronts.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Admission {
    /// Queues by the name of the front.
    #[serde(rename = "lanes")]
    pub front_queues: BTreeMap<String, FrontQueue>,
}

/// A new query that requests admission.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The query.
    pub key: QueryKey,
    /// Name of its front.
    pub front: &'a str,
    /// Priority, which selects the queue.
    pub priority: Priority,
    /// When its answer must be sent.
    pub deadline: Instant,
}

/// The admission decision for a new query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The query starts now.
    Start,
    /// The query is queued.
    Queue,
    /// The query is queued in place of this one, which has a lower priority and is refused.
    QueueAndEvict(QueryKey),
    /// The query is refused.
    Refuse,
}

/// The decision for a query that was taken out of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// The query starts now.
    Start(QueryKey),
    /// The query is refused, because its deadline cannot be met any more.
    Refuse(QueryKey),
}

/// Sets the concurrency limit of a front, clamped to the range from 1 to the limit in the settings.
pub fn set_limit(admission: &mut Admission, settings: &settings::Admit, front: &str, count: u32) {
    let limit_count = count.clamp(1, settings.running_max_count);
    if let Some(front_queue) = admission.front_queues.get_mut(front) {
        front_queue.limit_count = limit_count;
        return;
    }
    let front_queue = FrontQueue {
        limit_count,
        ..FrontQueue::default()
    };
    admission.front_queues.insert(front.to_owned(), front_queue);
}

/// Decides whether a new query starts, is queued or is refused, and counts or queues it
/// accordingly.
pub fn decide(
    admission: &mut Admission,
    settings: &settings::Admit,
    now: Instant,
    candidate: &Candidate<'_>,
) -> AdmissionDecision {
    let priority = candidate.priority;
    let is_full = queued_count(admission) >= settings.queued_max_count as usize;
    if !admission.front_queues.contains_key(candidate.front) {
        set_limit(
            admission,
            settings,
            candidate.front,
            settings.running_max_count,
        );
    }
    let Some(front_queue) = admission.front_queues.get_mut(candidate.front) else {
        return AdmissionDecision::Refuse;
    };
    let is_first = front_queue.queues[..=priority as usize]
        .iter()
        .all(|queue| queue.is_empty());
    if is_first && front_queue::has_capacity(front_queue, priority) {
        front_queue.running_count += 1;
        return AdmissionDecision::Start;
    }
    if !front_queue::can_meet_deadline(front_queue, now, priority, candidate.deadline) {
        return AdmissionDecision::Refuse;
    }
    let mut decision = AdmissionDecision::Queue;
    if is_full {
        let Some(evicted) = front_queue::evict_lower_priority(front_queue, priority) else {
            return AdmissionDecision::Refuse;
        };
        decision = AdmissionDecision::QueueAndEvict(evicted);
    }
    front_queue.queues[priority as usize].push_back(QueuedQuery {
        key: candidate.key,
        deadline: candidate.deadline,
    });
    decision
}

/// Counts a query as no longer running after it has ended, and updates the averages of its front.
pub fn record_completion(admission: &mut Admission, now: Instant, front: &str, run_time: Duration) {
    let Some(front_queue) = admission.front_queues.get_mut(front) else {
        return;
    };
    front_queue::record_completion(front_queue, now, run_time);
}

/// Counts a query as no longer running that was dequeued to start but was refused instead.
///
/// Unlike [`record_completion`], this adds no sample to the averages.
pub fn cancel_start(admission: &mut Admission, front: &str) {
    let Some(front_queue) = admission.front_queues.get_mut(front) else {
        return;
    };
    front_queue.running_count = front_queue.running_count.saturating_sub(1);
}

/// Removes a queued query that will not be started.
pub fn remove_queued(admission: &mut Admission, front: &str, key: QueryKey, priority: Priority) {
    let Some(front_queue) = admission.front_queues.get_mut(front) else {
        return;
    };
    front_queue.queues[priority as usize].retain(|queued| queued.key != key);
}

/// Removes the next query of a front from its queue, if the concurrency limit permits another one;
/// queued urgent queries cannot exceed it.
///
/// A query without enough time left to run is refused, unless the queue is empty after it.
pub fn dequeue(
    admission: &mut Admission,
    settings: &settings::Admit,
    now: Instant,
    front: &str,
) -> Option<Dequeued> {
    let front_queue = admission.front_queues.get_mut(front)?;
    if !front_queue::has_capacity(front_queue, Priority::Normal) {
        return None;
    }
    let queued = front_queue::pop(front_queue, settings.deferrable_share_count)?;
    if !front_queue::has_time_to_run(front_queue, now, queued.deadline)
        && front_queue::queued_count(front_queue) > 0
    {
        return Some(Dequeued::Refuse(queued.key));
    }
    front_queue.running_count += 1;
    Some(Dequeued::Start(queued.key))
}

/// Returns whether queries of a front are queued; if so, hedged calls would only lengthen the
/// queue.
pub fn has_queue(admission: &Admission, front: &str) -> bool {
    let front_queue = admission.front_queues.get(front);
    front_queue.is_some_and(|front_queue| front_queue::queued_count(front_queue) > 0)
}

fn queued_count(admission: &Admission) -> usize {
    admission
        .front_queues
        .values()
        .map(front_queue::queued_count)
        .sum()
}
