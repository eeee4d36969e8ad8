//! Deferrable requests that run once and that every target declined: they wait instead of failing.

use std::time::Instant;

use model::{Effect, Priority, QueryKey};
use route::Routes;

use crate::{
    Cause, Queries, ShardState,
    shard::{self, finish_if_complete},
};

/// Shards that are parked at the same time, so that orders cannot take every running query's place.
const PARKED_MAX_COUNT: usize = 64;

/// Lets a shard wait for the next tick, if its request may wait until its deadline.
///
/// Only a request none of whose calls can have run may be tried again.
pub(crate) fn park(queries: &mut Queries, key: QueryKey, shard_index: usize) -> bool {
    let Some(query) = queries.queries.get(key) else {
        return false;
    };
    let evidence = &query.evidence;
    let is_in_doubt = evidence.ran_count + evidence.lost_count + evidence.running_count > 0;
    let may_wait = query.ticket.is_some() && query.priority == Priority::Deferrable && !is_in_doubt;
    let shard = &query.shards[shard_index];
    if !may_wait || !matches!(shard.state, ShardState::Open) || !shard.calls.is_empty() {
        return false;
    }
    if queries.parked.len() >= PARKED_MAX_COUNT {
        return false;
    }
    queries.parked.push((key, shard_index));
    true
}

/// Tries every target again for the shards that were let wait.
pub(crate) fn unpark(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    for (key, shard_index) in std::mem::take(&mut queries.parked) {
        let Some(query) = queries.queries.get_mut(key) else {
            continue;
        };
        query.shards[shard_index].tried.clear();
        let cause = Cause::Retry;
        let called = shard::call(queries, routes, now, key, shard_index, cause, out);
        let Err(reason) = called else { continue };
        shard::fail(queries, routes, now, key, shard_index, reason, out);
        let finished = finish_if_complete(queries, routes, now, key, out);
        queries.ended.extend(finished);
    }
}
