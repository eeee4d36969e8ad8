//! The course of single shards: called, waiting, missing.

use std::time::Instant;

use model::{Effect, MissingReason, QueryKey};
use route::Routes;

use crate::{
    Cause, Finished, Queries, ShardState,
    answer::finish,
    park::park,
    restart::restart,
    send::{Sent, send},
    waiting::{WaitingShard, wait},
};

/// Calls a target for a shard, or lets the shard wait while all are busy.
pub(crate) fn call(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    cause: Cause,
    out: &mut Vec<Effect>,
) -> Result<(), MissingReason> {
    match send(queries, routes, now, key, shard_index, cause, out)? {
        Sent::Called => {}
        Sent::Busy => {
            let query = &queries.queries[key];
            let service = query.shards[shard_index].service;
            let priority = query.priority;
            let shard = WaitingShard {
                query: key,
                attempt_count: query.attempt_count,
                shard_index,
                cause,
            };
            wait(queries, now, service, priority, shard);
        }
    }
    Ok(())
}

/// Takes in that no target can be called for a shard: the query is restarted if only its snapshot
/// is the obstacle, otherwise the shard is missing.
pub(crate) fn fail(
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
    if park(queries, key, shard_index) {
        return;
    }
    give_up(queries, key, shard_index, reason);
}

/// Marks an open shard without calls in flight as missing.
pub(crate) fn give_up(
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

/// Ends a query none of whose shards is open.
pub(crate) fn finish_if_complete(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    if queries.queries.get(key)?.open_count > 0 {
        return None;
    }
    finish(queries, routes, now, key, out)
}
