//! Deferral of deferrable requests that run at most once: if every target declines, they are
//! retried at every tick until their deadline instead of failing.

use std::time::Instant;

use model::{Effect, Priority, QueryKey};
use route::Routes;

use crate::{
    Cause, Queries, ShardState,
    shard::{self, finish_if_complete},
};

/// Limit of concurrently deferred shards, so that their queries cannot use up the concurrency
/// limit.
const DEFERRED_MAX_COUNT: usize = 64;

/// Defers a shard to the next tick, if its request is deferrable; returns whether it did.
///
/// A request is deferred only if none of its calls can have been executed.
pub(crate) fn defer(queries: &mut Queries, key: QueryKey, shard_index: usize) -> bool {
    let Some(query) = queries.queries.get(key) else {
        return false;
    };
    let evidence = &query.evidence;
    let may_have_run = evidence.ran_count + evidence.lost_count + evidence.running_count > 0;
    let may_wait =
        query.ticket.is_some() && query.priority == Priority::Deferrable && !may_have_run;
    let shard = &query.shards[shard_index];
    if !may_wait || !matches!(shard.state, ShardState::Open) || !shard.calls.is_empty() {
        return false;
    }
    if queries.deferred.len() >= DEFERRED_MAX_COUNT {
        return false;
    }
    queries.deferred.push((key, shard_index));
    true
}

/// Retries all deferred shards on every target.
pub(crate) fn retry_deferred(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    for (key, shard_index) in std::mem::take(&mut queries.deferred) {
        let Some(query) = queries.queries.get_mut(key) else {
            continue;
        };
        query.shards[shard_index].tried.clear();
        let cause = Cause::Retry;
        let called = shard::send_or_enqueue(queries, routes, now, key, shard_index, cause, out);
        let Err(reason) = called else { continue };
        shard::handle_no_target(queries, routes, now, key, shard_index, reason, out);
        let finished = finish_if_complete(queries, routes, now, key, out);
        queries.finished.extend(finished);
    }
}
