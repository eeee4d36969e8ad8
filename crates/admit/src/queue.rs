//! The queue of waiting queries.

use std::collections::VecDeque;

use model::{Priority, QueryKey};
use serde::Serialize;

/// What runs and what waits.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Admission {
    /// Queries that run.
    pub running_count: u32,
    /// Waiting queries, one queue for each priority in order of importance.
    pub queues: [VecDeque<QueryKey>; 3],
    /// Queries started since the last deferrable one.
    pub since_deferrable_count: u32,
}

/// What happens to a new query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits.
    Wait,
    /// It is refused.
    Refuse,
}

/// Decides about a new query and books its place.
pub fn offer(
    admission: &mut Admission,
    settings: &settings::Admit,
    key: QueryKey,
    priority: Priority,
) -> Verdict {
    if admission.running_count < settings.running_max_count {
        admission.running_count += 1;
        return Verdict::Start;
    }
    if queued_count(admission) >= settings.queued_max_count as usize {
        return Verdict::Refuse;
    }
    admission.queues[priority as usize].push_back(key);
    Verdict::Wait
}

/// Notes that a running query has finished.
pub fn finished(admission: &mut Admission) {
    admission.running_count = admission.running_count.saturating_sub(1);
}

/// Removes a query that waits and will not be started.
pub fn withdrawn(admission: &mut Admission, key: QueryKey, priority: Priority) {
    admission.queues[priority as usize].retain(|&queued| queued != key);
}

/// Takes the next query to start, if there is room.
pub fn next(admission: &mut Admission, settings: &settings::Admit) -> Option<QueryKey> {
    if admission.running_count >= settings.running_max_count {
        return None;
    }
    let key = pop(admission, settings)?;
    admission.running_count += 1;
    Some(key)
}

/// Tells whether queries wait, so that extra calls would only lengthen the queue.
pub fn has_queue(admission: &Admission) -> bool {
    queued_count(admission) > 0
}

fn pop(admission: &mut Admission, settings: &settings::Admit) -> Option<QueryKey> {
    let [urgent, normal, deferrable] = &mut admission.queues;
    if admission.since_deferrable_count >= settings.deferrable_share_count {
        admission.since_deferrable_count = 0;
        if let Some(key) = deferrable.pop_front() {
            return Some(key);
        }
    }
    if let Some(key) = urgent.pop_front().or_else(|| normal.pop_front()) {
        admission.since_deferrable_count += 1;
        return Some(key);
    }
    deferrable.pop_front()
}

fn queued_count(admission: &Admission) -> usize {
    admission.queues.iter().map(VecDeque::len).sum()
}
