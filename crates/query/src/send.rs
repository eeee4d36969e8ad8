//! Sending calls to targets.

use std::time::Instant;

use model::{Counter, Effect, MissingReason, QueryKey, TargetCall};
use route::{Routes, Want};

use crate::{Call, Queries, ShardState};

/// Sends the first call of a shard; the shard is missing if no target can be called.
pub(crate) fn send_primary(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    out: &mut Vec<Effect>,
) {
    match send(queries, routes, now, key, shard_index, out) {
        Ok(()) => out.push(Effect::Count {
            counter: Counter::PrimaryCalls,
            amount_count: 1,
        }),
        Err(reason) => give_up(queries, key, shard_index, reason),
    }
}

/// Sends another call of a shard whose last one was not executed or may be repeated.
pub(crate) fn send_retry(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    out: &mut Vec<Effect>,
) {
    match send(queries, routes, now, key, shard_index, out) {
        Ok(()) => out.push(Effect::Count {
            counter: Counter::RetryCalls,
            amount_count: 1,
        }),
        Err(reason) => give_up(queries, key, shard_index, reason),
    }
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

fn send(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    out: &mut Vec<Effect>,
) -> Result<(), MissingReason> {
    let Some(query) = queries.queries.get_mut(key) else {
        return Err(MissingReason::Failed);
    };
    let is_idempotent = query.ticket.is_none();
    let snapshot = query.snapshot.filter(|_| is_idempotent);
    let shard = &mut query.shards[shard_index];
    let want = Want {
        service: shard.service,
        snapshot,
        zones: &query.zones,
        tried: &shard.tried,
    };
    let target = route::choose(routes, &want)?;
    let call = Call {
        query: key,
        shard_index,
        target,
        sent_at: now,
    };
    let call = queries.calls.insert(call);
    shard.tried.push(target);
    shard.calls.push(call);
    route::call_started(routes, target);
    out.push(Effect::Call(TargetCall {
        call,
        target,
        address: routes.targets[target].address,
        request_id: query.request_id.clone(),
        snapshot,
        timeout: query.deadline.saturating_duration_since(now),
        is_idempotent,
        body: query.body.clone(),
    }));
    Ok(())
}
