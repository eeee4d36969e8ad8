//! The ends of calls, and the deadline.

use std::time::Instant;

use bytes::Bytes;
use model::{
    CallFailure, CallKey, Counter, Effect, MissingReason, QueryKey, ReplyStatus, ReplyView,
};
use route::{CallEnd, Routes};

use crate::{
    Call, Finished, Queries, ShardState,
    accept::finish_if_complete,
    answer::{cancel_calls, finish},
    send::{give_up, send_retry},
};

/// Takes in a target's whole reply.
pub fn replied(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: CallKey,
    reply: &ReplyView<'_>,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    let Call {
        query: key,
        shard_index,
        target,
        ..
    } = take_call(queries, call, out)?;
    route::call_ended(routes, now, target, CallEnd::Replied(reply.status));
    if let Some(load) = &reply.load {
        route::load_reported(routes, target, load);
    }
    let query = queries.queries.get_mut(key)?;
    query.evidence.replied(reply.status);
    let is_right_snapshot = query.ticket.is_some() || query.snapshot == Some(reply.snapshot);
    match reply.status {
        ReplyStatus::Done if is_right_snapshot => {
            let shard = &mut query.shards[shard_index];
            if matches!(shard.state, ShardState::Open) {
                shard.state = ShardState::Answered(Bytes::copy_from_slice(reply.body));
                query.open_count -= 1;
            }
            let losers = std::mem::take(&mut shard.calls);
            cancel_calls(queries, routes, &losers, out);
        }
        ReplyStatus::Failed => give_up(queries, key, shard_index, MissingReason::Failed),
        status if query.ticket.is_some() && !status.is_not_run() => {
            give_up(queries, key, shard_index, MissingReason::Failed);
        }
        _ => send_retry(queries, routes, now, key, shard_index, out),
    }
    finish_if_complete(queries, routes, now, key, out)
}

/// Takes in a call that ended without a whole reply.
pub fn call_failed(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: CallKey,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    let Call {
        query: key,
        shard_index,
        target,
        ..
    } = take_call(queries, call, out)?;
    route::call_ended(routes, now, target, CallEnd::Failed(failure));
    let query = queries.queries.get_mut(key)?;
    query.evidence.failed(failure);
    let may_repeat = query.ticket.is_none() || !failure.may_have_reached_target();
    if may_repeat {
        send_retry(queries, routes, now, key, shard_index, out);
    } else {
        give_up(queries, key, shard_index, MissingReason::Failed);
    }
    finish_if_complete(queries, routes, now, key, out)
}

/// Ends a query at its deadline with what has arrived.
pub fn deadline(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    finish(queries, routes, now, key, out)
}

/// Removes a call that is in flight; counts the event if there is no such call.
fn take_call(queries: &mut Queries, key: CallKey, out: &mut Vec<Effect>) -> Option<Call> {
    let Some(call) = queries.calls.remove(key) else {
        out.push(Effect::Count {
            counter: Counter::StaleReplies,
            amount_count: 1,
        });
        return None;
    };
    if let Some(query) = queries.queries.get_mut(call.query) {
        query.shards[call.shard_index]
            .calls
            .retain(|&running| running != key);
    }
    Some(call)
}
