//! Admission of new queries, and the start of those that wait.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{Priority, QueryKey};
use serde::Serialize;

use crate::lane::{self, Lane, Waiting};

/// What runs and what waits, by front.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct Admission {
    /// Queues by the names of the fronts.
    pub lanes: BTreeMap<String, Lane>,
}

/// A query that asks to be run.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The query.
    pub key: QueryKey,
    /// Name of its front.
    pub front: &'a str,
    /// Importance.
    pub priority: Priority,
    /// When its answer must leave.
    pub deadline: Instant,
}

/// What happens to a new query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits.
    Wait,
    /// It waits, and another one of lower priority is refused to make room.
    WaitInsteadOf(QueryKey),
    /// It is refused.
    Refuse,
}

/// What happens to a query that has waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It starts now.
    Start(QueryKey),
    /// It is refused, because its deadline cannot be met any more.
    Refuse(QueryKey),
}

/// Sets how many queries of a front may run at the same time.
pub fn set_limit(admission: &mut Admission, settings: &settings::Admit, front: &str, count: u32) {
    let limit_count = count.clamp(1, settings.running_max_count);
    if let Some(lane) = admission.lanes.get_mut(front) {
        lane.limit_count = limit_count;
        return;
    }
    let lane = Lane {
        limit_count,
        ..Lane::default()
    };
    admission.lanes.insert(front.to_owned(), lane);
}

/// Decides about a new query and books its place.
pub fn offer(
    admission: &mut Admission,
    settings: &settings::Admit,
    now: Instant,
    candidate: &Candidate<'_>,
) -> Verdict {
    let priority = candidate.priority;
    let is_full = queued_count(admission) >= settings.queued_max_count as usize;
    if !admission.lanes.contains_key(candidate.front) {
        set_limit(
            admission,
            settings,
            candidate.front,
            settings.running_max_count,
        );
    }
    let Some(lane) = admission.lanes.get_mut(candidate.front) else {
        return Verdict::Refuse;
    };
    let is_first = lane.queues[..=priority as usize]
        .iter()
        .all(|queue| queue.is_empty());
    if is_first && lane::has_room(lane, priority) {
        lane.running_count += 1;
        return Verdict::Start;
    }
    if !lane::can_meet(lane, now, priority, candidate.deadline) {
        return Verdict::Refuse;
    }
    let mut verdict = Verdict::Wait;
    if is_full {
        let Some(evicted) = lane::evict_below(lane, priority) else {
            return Verdict::Refuse;
        };
        verdict = Verdict::WaitInsteadOf(evicted);
    }
    lane.queues[priority as usize].push_back(Waiting {
        key: candidate.key,
        deadline: candidate.deadline,
    });
    verdict
}

/// Notes that a running query has finished.
pub fn finished(admission: &mut Admission, now: Instant, front: &str, ran_for: Duration) {
    let Some(lane) = admission.lanes.get_mut(front) else {
        return;
    };
    lane::ended(lane, now, ran_for);
}

/// Takes back the start of a query that was refused after all.
pub fn not_started(admission: &mut Admission, front: &str) {
    let Some(lane) = admission.lanes.get_mut(front) else {
        return;
    };
    lane.running_count = lane.running_count.saturating_sub(1);
}

/// Removes a query that waits and will not be started.
pub fn withdrawn(admission: &mut Admission, front: &str, key: QueryKey, priority: Priority) {
    let Some(lane) = admission.lanes.get_mut(front) else {
        return;
    };
    lane.queues[priority as usize].retain(|waiting| waiting.key != key);
}

/// Takes the next query of a front, if there is room.
pub fn next(
    admission: &mut Admission,
    settings: &settings::Admit,
    now: Instant,
    front: &str,
) -> Option<Next> {
    let lane = admission.lanes.get_mut(front)?;
    if !lane::has_room(lane, Priority::Normal) {
        return None;
    }
    let waiting = lane::pop(lane, settings.deferrable_share_count)?;
    if !lane::can_run(lane, now, waiting.deadline) && lane::queued_count(lane) > 0 {
        return Some(Next::Refuse(waiting.key));
    }
    lane.running_count += 1;
    Some(Next::Start(waiting.key))
}

/// Tells whether queries of a front wait, so that extra calls would only lengthen the queue.
pub fn has_queue(admission: &Admission, front: &str) -> bool {
    let lane = admission.lanes.get(front);
    lane.is_some_and(|lane| lane::queued_count(lane) > 0)
}

fn queued_count(admission: &Admission) -> usize {
    admission.lanes.values().map(lane::queued_count).sum()
}
