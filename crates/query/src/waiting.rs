//! Shards that wait for a target, because each one that could be used is busy.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use model::{Effect, Priority, QueryKey, ServiceKey};
use route::Routes;
use serde::Serialize;

use crate::{
    Cause, Queries, ShardState,
    hedge::arm_shard,
    send::{Sent, send},
    shard::{fail, finish_if_complete},
};

/// Time for which shards have to wait without a break until their service counts as overloaded.
const CONTENDED_AFTER: Duration = Duration::from_millis(30);

/// One waiting shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct WaitingShard {
    /// The query.
    pub query: QueryKey,
    /// Attempt of the query that waits.
    pub attempt_count: u32,
    /// Position of the shard in the query.
    pub shard_index: usize,
    /// Why the call is wanted.
    pub cause: Cause,
}

/// The waiting shards of one service, one queue for each priority.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct WaitingShards {
    /// Since when shards have been waiting without a break.
    #[serde(skip)]
    pub since: Option<Instant>,
    /// Queues in order of importance.
    pub queues: [VecDeque<WaitingShard>; 3],
}

/// Lets a shard wait.
pub(crate) fn wait(
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

/// Tells whether shards have been waiting for a service so long that its targets are overloaded.
///
/// A short wait is often caused by stragglers, which a hedge removes.
pub(crate) fn is_contended(queries: &Queries, service: ServiceKey, now: Instant) -> bool {
    let waiting = queries.waiting.get(service);
    let since = waiting.and_then(|waiting| waiting.since);
    since.is_some_and(|since| now >= since + CONTENDED_AFTER)
}

/// Calls targets for the waiting shards of a service as long as one may have another call.
pub(crate) fn wake(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    service: ServiceKey,
    out: &mut Vec<Effect>,
) {
    while let Some((priority, shard)) = take(queries, service) {
        if !is_wanted(queries, &shard) {
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
            Ok(Sent::Called) => arm_shard(queries, now, shard.query, shard.shard_index, out),
            Ok(Sent::Busy) => {
                put_back(queries, service, priority, shard);
                return;
            }
            Err(reason) => {
                fail(
                    queries,
                    routes,
                    now,
                    shard.query,
                    shard.shard_index,
                    reason,
                    out,
                );
                let finished = finish_if_complete(queries, routes, now, shard.query, out);
                queries.ended.extend(finished);
            }
        }
    }
}

/// Tries every service for which shards wait, and forgets shards that do not wait any more.
pub(crate) fn wake_all(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    let services: Vec<ServiceKey> = queries.waiting.keys().collect();
    for service in services {
        forget_unwanted(queries, service);
        wake(queries, routes, now, service, out);
    }
}

fn forget_unwanted(queries: &mut Queries, service: ServiceKey) {
    let Some(mut waiting) = queries.waiting.remove(service) else {
        return;
    };
    for queue in &mut waiting.queues {
        queue.retain(|shard| is_wanted(queries, shard));
    }
    if waiting.queues.iter().any(|queue| !queue.is_empty()) {
        queries.waiting.insert(service, waiting);
    }
}

fn is_wanted(queries: &Queries, shard: &WaitingShard) -> bool {
    let Some(query) = queries.queries.get(shard.query) else {
        return false;
    };
    query.attempt_count == shard.attempt_count
        && matches!(query.shards[shard.shard_index].state, ShardState::Open)
}

fn take(queries: &mut Queries, service: ServiceKey) -> Option<(usize, WaitingShard)> {
    let waiting = queries.waiting.get_mut(service)?;
    let mut queues = waiting.queues.iter_mut().enumerate();
    let taken = queues.find_map(|(priority, queue)| Some((priority, queue.pop_front()?)));
    if taken.is_none() {
        queries.waiting.remove(service);
    }
    taken
}

fn put_back(queries: &mut Queries, service: ServiceKey, priority: usize, shard: WaitingShard) {
    let Some(waiting) = queries.waiting.get_mut(service) else {
        return;
    };
    waiting.queues[priority].push_front(shard);
}
