//! The ends of calls, and the deadline.

use std::time::Instant;

use bytes::Bytes;
use model::{
    CallFailure, CallKey, Counter, Effect, MissingReason, QueryKey, ReplyStatus, ReplyView,
};
use route::{CallEnd, CallReport, Routes};

use crate::{
    Call, Cause, Finished, Queries, ShardState,
    answer::{cancel_calls, finish},
    budget,
    hedge::arm_shard,
    shard::{self, finish_if_complete, give_up},
    tick::note_event,
    waiting::wake,
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
    let end = CallEnd::Replied(reply.status);
    let call = take_call(queries, routes, now, call, end, out)?;
    if let Some(load) = &reply.load {
        route::record_load_report(routes, now, call.target, load);
    } else if reply.status == ReplyStatus::WrongSnapshot {
        route::record_served_snapshot(routes, call.target, reply.snapshot);
    }
    let finished = reply_taken(queries, routes, now, &call, reply, out);
    wake_service(queries, routes, now, call, out);
    finished
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
    let end = CallEnd::Failed(failure);
    let call = take_call(queries, routes, now, call, end, out)?;
    let finished = failure_taken(queries, routes, now, &call, failure, out);
    wake_service(queries, routes, now, call, out);
    finished
}

/// Ends a query at its deadline with what has arrived.
pub fn deadline(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    note_event(queries, now);
    finish(queries, routes, now, key, out)
}

fn reply_taken(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: &Call,
    reply: &ReplyView<'_>,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    if call.cancelled_at.is_some() {
        count_stale(out);
        return None;
    }
    let (key, shard_index) = (call.query, call.shard_index);
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
            cancel_calls(queries, routes, now, &losers, out);
        }
        ReplyStatus::Failed => give_up(queries, key, shard_index, MissingReason::Failed),
        status if query.ticket.is_some() && !status.is_not_run() => {
            give_up(queries, key, shard_index, MissingReason::Failed);
        }
        // A refused order costs its caller more than the few calls that each replica once adds.
        ReplyStatus::Shed if query.ticket.is_none() => {
            retry_in_budget(queries, routes, now, key, shard_index, out)
        }
        _ => retry(queries, routes, now, key, shard_index, out),
    }
    finish_if_complete(queries, routes, now, key, out)
}

fn failure_taken(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: &Call,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) -> Option<Finished> {
    if call.cancelled_at.is_some() {
        return None;
    }
    let (key, shard_index) = (call.query, call.shard_index);
    let query = queries.queries.get_mut(key)?;
    query.evidence.failed(failure);
    let may_have_run = failure.may_have_reached_target();
    let is_retry_barred = query.shards[shard_index].is_retry_barred;
    if may_have_run && (query.ticket.is_some() || is_retry_barred) {
        give_up(queries, key, shard_index, MissingReason::Failed);
    } else if may_have_run {
        retry_in_budget(queries, routes, now, key, shard_index, out);
    } else {
        retry(queries, routes, now, key, shard_index, out);
    }
    finish_if_complete(queries, routes, now, key, out)
}

/// Calls another replica, if the budget of calls that cost targets work allows it.
fn retry_in_budget(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    out: &mut Vec<Effect>,
) {
    if budget::spend(&mut queries.budgets.retries) {
        retry(queries, routes, now, key, shard_index, out);
    } else {
        let reason = MissingReason::Failed;
        shard::fail(queries, routes, now, key, shard_index, reason, out);
    }
}

/// Calls another replica. Each one is tried once, so a lost service causes no storm of calls.
fn retry(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    out: &mut Vec<Effect>,
) {
    let cause = Cause::Retry;
    let Err(reason) = shard::call(queries, routes, now, key, shard_index, cause, out) else {
        arm_shard(queries, now, key, shard_index, out);
        return;
    };
    let reason = match reason {
        MissingReason::NoTarget => MissingReason::Failed,
        other => other,
    };
    shard::fail(queries, routes, now, key, shard_index, reason, out);
}

/// Removes a call that has ended; counts the event if there is no such call.
fn take_call(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: CallKey,
    end: CallEnd,
    out: &mut Vec<Effect>,
) -> Option<Call> {
    note_event(queries, now);
    let Some(call) = queries.calls.remove(key) else {
        count_stale(out);
        return None;
    };
    let was_paused = queries
        .resumed_at
        .is_some_and(|resumed_at| call.sent_at < resumed_at);
    let report = CallReport {
        target: call.target,
        end,
        elapsed: (!was_paused).then(|| now - call.sent_at),
        is_cancelled: call.cancelled_at.is_some(),
        is_noted_late: call.is_noted_late,
        calls_per_slot_count: call.calls_per_slot_count,
    };
    route::record_call_end(routes, now, &report, out);
    if call.cancelled_at.is_none()
        && let Some(query) = queries.queries.get_mut(call.query)
    {
        let calls = &mut query.shards[call.shard_index].calls;
        calls.retain(|&running| running != key);
    }
    Some(call)
}

fn wake_service(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: Call,
    out: &mut Vec<Effect>,
) {
    if queries.waiting.is_empty() {
        return;
    }
    let Some(target) = routes.targets.get(call.target) else {
        return;
    };
    wake(queries, routes, now, target.service, out);
}

fn count_stale(out: &mut Vec<Effect>) {
    out.push(Effect::Count {
        counter: Counter::StaleReplies,
        amount_count: 1,
    });
}
