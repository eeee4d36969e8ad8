//! State transitions of single shards.

use std::time::Instant;

use model::{Effect, MissingReason, QueryKey};
use route::Routes;

use crate::{
    Cause, FinishedQuery, Queries, ShardState,
    answer::finish,
    defer::defer,
    restart::restart,
    send::{SendOutcome, send},
    waiting::{WaitingShard, enqueue},
};

/// Calls a target for a shard, or enqueues the shard if the eligible targets are busy.
pub(crate) fn send_or_enqueue(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    cause: Cause,
    out: &mut Vec<Effect>,
) -> Result<(), MissingReason> {
    match send(queries, routes, now, key, shard_index, cause, out)? {
        SendOutcome::Sent => {}
        SendOutcome::Busy => {
            let query = &queries.queries[key];
            let service = query.shards[shard_index].service;
            let priority = query.priority;
            let shard = WaitingShard {
                query: key,
                restart_count: query.restart_count,
                shard_index,
                cause,
            };
            enqueue(queries, now, service, priority, shard);
        }
    }
    Ok(())
}

/// Handles a shard for which no target can be called: restarts the query if only its snapshot is no
/// longer served, otherwise defers the shard or marks it as missing.
pub(crate) fn handle_no_target(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    reason: MissingReason,
    out: &mut Vec<Effect>,
) {
    let is_snapshot_gone = reason == MissingReason::SnapshotGone;
    if is_snapshot_gone && restart(queries, routes, now, key, out) {
        return;
    }
    if defer(queries, key, shard_index) {
        return;
    }
    mark_missing(queries, key, shard_index, reason);
}

/// Marks an open shard without calls in flight as missing.
pub(crate) fn mark_missing(
    queries: &mut Queries,
    key: QueryKey,
    shard_index: usize,
    reason: MissingReason,
) {
    let Some(query) = queries.queries.get_mut(key) else {
        return;
    };
    let shard = &mut query.shards[shard_index];
    if !matches!(shard.state, ShardState::Open) || !shard.calls.is_empty() {
        return;
    }
    shard.state = ShardState::Missing(reason);
    query.open_count -= 1;
}

/// Finishes a query that has no open shard.
pub(crate) fn finish_if_complete(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<FinishedQuery> {
    if queries.queries.get(key)?.open_count > 0 {
        return None;
    }
    finish(queries, routes, now, key, out)
}
