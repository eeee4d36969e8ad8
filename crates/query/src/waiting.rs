//! Queues of shards that wait for a target, because the eligible ones are busy.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{Effect, Priority, QueryKey, ServiceKey};
use route::Routes;
use serde::Serialize;

use crate::{
    Cause, Queries, ShardState,
    hedge::arm_timer_for_shard,
    send::{SendOutcome, send},
    shard::{finish_if_complete, handle_no_target},
};

/// Time for which shards must have been waiting for a service until it counts as contended.
const CONTENDED_AFTER: Duration = Duration::from_millis(30);

/// A waiting shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct WaitingShard {
    /// The query.
    pub query: QueryKey,
    /// Restart count of the query when the shard was enqueued; the entry is obsolete once the query
    /// has been restarted again.
    #[serde(rename = "attempt_count")]
    pub restart_count: u32,
    /// Index of the shard in the query.
    pub shard_index: usize,
    /// Why the call is to be sent.
    pub cause: Cause,
}

/// The waiting shards of one service.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct WaitingShards {
    /// Since when the queues have not all been empty.
    #[serde(skip)]
    pub since: Option<Instant>,
    /// One FIFO queue per priority, the most urgent first.
    pub queues: [VecDeque<WaitingShard>; 3],
}

/// Appends a shard to the queue of its service and priority.
pub(crate) fn enqueue(
    queries: &mut Queries,
    now: Instant,
    service: ServiceKey,
    priority: Priority,
    shard: WaitingShard,
) {
    let Some(entry) = queries.waiting.entry(service) else {
        return;
    };
    let waiting = entry.or_default();
    waiting.since.get_or_insert(now);
    waiting.queues[priority as usize].push_back(shard);
}

/// Returns whether shards have been waiting for a service for at least [`CONTENDED_AFTER`].
///
/// A shorter wait is often caused by single slow calls, which hedging resolves.
pub(crate) fn is_contended(queries: &Queries, service: ServiceKey, now: Instant) -> bool {
    let waiting = queries.waiting.get(service);
    let since = waiting.and_then(|waiting| waiting.since);
    since.is_some_and(|since| now >= since + CONTENDED_AFTER)
}

/// Calls targets for the waiting shards of a service until the eligible targets are busy.
pub(crate) fn dispatch_waiting(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    service: ServiceKey,
    out: &mut Vec<Effect>,
) {
    while let Some((priority, shard)) = pop(queries, service) {
        if !is_pending(queries, &shard) {
            continue;
        }
        match send(
            queries,
            routes,
            now,
            shard.query,
            shard.shard_index,
            shard.cause,
            out,
        ) {
            Ok(SendOutcome::Sent) => {
                arm_timer_for_shard(queries, now, shard.query, shard.shard_index, out)
            }
            Ok(SendOutcome::Busy) => {
                requeue(queries, service, priority, shard);
                return;
            }
            Err(reason) => {
                handle_no_target(
                    queries,
                    routes,
                    now,
                    shard.query,
                    shard.shard_index,
                    reason,
                    out,
                );
                let finished = finish_if_complete(queries, routes, now, shard.query, out);
                queries.finished.extend(finished);
            }
        }
    }
}

/// Dispatches the waiting shards of all services, and removes obsolete ones.
pub(crate) fn dispatch_all_waiting(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    let services: Vec<ServiceKey> = queries.waiting.keys().collect();
    for service in services {
        prune(queries, service);
        dispatch_waiting(queries, routes, now, service, out);
    }
}

fn prune(queries: &mut Queries, service: ServiceKey) {
    let Some(mut waiting) = queries.waiting.remove(service) else {
        return;
    };
    for queue in &mut waiting.queues {
        queue.retain(|shard| is_pending(queries, shard));
    }
    if waiting.queues.iter().any(|queue| !queue.is_empty()) {
        queries.waiting.insert(service, waiting);
    }
}

fn is_pending(queries: &Queries, shard: &WaitingShard) -> bool {
    let Some(query) = queries.queries.get(shard.query) else {
        return false;
    };
    query.restart_count == shard.restart_count
        && matches!(query.shards[shard.shard_index].state, ShardState::Open)
}

fn pop(queries: &mut Queries, service: ServiceKey) -> Option<(usize, WaitingShard)> {
    let waiting = queries.waiting.get_mut(service)?;
    let mut queues = waiting.queues.iter_mut().enumerate();
    let popped = queues.find_map(|(priority, queue)| Some((priority, queue.pop_front()?)));
    if popped.is_none() {
        queries.waiting.remove(service);
    }
    popped
}

fn requeue(queries: &mut Queries, service: ServiceKey, priority: usize, shard: WaitingShard) {
    let Some(waiting) = queries.waiting.get_mut(service) else {
        return;
    };
    waiting.queues[priority].push_front(shard);
}
