//! Replies to calls, failures of calls, and the deadline of a query.

use std::time::Instant;

use bytes::Bytes;
use model::{
    CallFailure, CallKey, Counter, Effect, MissingReason, QueryKey, ReplyStatus, ReplyView,
};
use route::{CallEnd, CallReport, Routes};

use crate::{
    Call, Cause, FinishedQuery, Queries, ShardState,
    answer::{cancel_calls, finish},
    budget,
    hedge::arm_timer_for_shard,
    shard::{self, finish_if_complete, mark_missing},
    tick::detect_pause,
    waiting::dispatch_waiting,
};

/// Processes a target's complete reply to a call.
pub fn on_reply(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: CallKey,
    reply: &ReplyView<'_>,
    out: &mut Vec<Effect>,
) -> Option<FinishedQuery> {
    let end = CallEnd::Replied(reply.status);
    let call = remove_ended_call(queries, routes, now, call, end, out)?;
    if let Some(load) = &reply.load {
        route::record_load_report(routes, now, call.target, load);
    } else if reply.status == ReplyStatus::WrongSnapshot {
        route::record_served_snapshot(routes, call.target, reply.snapshot);
    }
    let finished = apply_reply(queries, routes, now, &call, reply, out);
    dispatch_waiting_for(queries, routes, now, call, out);
    finished
}

/// Processes a call that ended without a complete reply.
pub fn on_call_failure(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: CallKey,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) -> Option<FinishedQuery> {
    let end = CallEnd::Failed(failure);
    let call = remove_ended_call(queries, routes, now, call, end, out)?;
    let finished = apply_failure(queries, routes, now, &call, failure, out);
    dispatch_waiting_for(queries, routes, now, call, out);
    finished
}

/// Finishes a query at its deadline with the results that have arrived.
pub fn on_deadline(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    out: &mut Vec<Effect>,
) -> Option<FinishedQuery> {
    detect_pause(queries, now);
    finish(queries, routes, now, key, out)
}

fn apply_reply(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: &Call,
    reply: &ReplyView<'_>,
    out: &mut Vec<Effect>,
) -> Option<FinishedQuery> {
    if call.cancelled_at.is_some() {
        count_stale_reply(out);
        return None;
    }
    let (key, shard_index) = (call.query, call.shard_index);
    let query = queries.queries.get_mut(key)?;
    query.evidence.record_reply(reply.status);
    let has_expected_snapshot = query.ticket.is_some() || query.snapshot == Some(reply.snapshot);
    match reply.status {
        ReplyStatus::Done if has_expected_snapshot => {
            let shard = &mut query.shards[shard_index];
            if matches!(shard.state, ShardState::Open) {
                shard.state = ShardState::Answered(Bytes::copy_from_slice(reply.body));
                query.open_count -= 1;
            }
            let other_calls = std::mem::take(&mut shard.calls);
            cancel_calls(queries, routes, now, &other_calls, out);
        }
        ReplyStatus::Failed => mark_missing(queries, key, shard_index, MissingReason::Failed),
        status if query.ticket.is_some() && !status.is_confirmed_unexecuted() => {
            mark_missing(queries, key, shard_index, MissingReason::Failed);
        }
        // After a shed call only idempotent requests are retried within the budget. Refusing a
        // request that runs at most once would cost its caller more than one further call to each
        // replica costs the targets.
        ReplyStatus::Shed if query.ticket.is_none() => {
            retry_within_budget(queries, routes, now, key, shard_index, out)
        }
        _ => retry(queries, routes, now, key, shard_index, out),
    }
    finish_if_complete(queries, routes, now, key, out)
}

fn apply_failure(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    call: &Call,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) -> Option<FinishedQuery> {
    if call.cancelled_at.is_some() {
        return None;
    }
    let (key, shard_index) = (call.query, call.shard_index);
    let query = queries.queries.get_mut(key)?;
    query.evidence.record_failure(failure);
    let may_have_run = failure.may_have_reached_target();
    let is_retry_barred = query.shards[shard_index].is_retry_barred;
    if may_have_run && (query.ticket.is_some() || is_retry_barred) {
        mark_missing(queries, key, shard_index, MissingReason::Failed);
    } else if may_have_run {
        retry_within_budget(queries, routes, now, key, shard_index, out);
    } else {
        retry(queries, routes, now, key, shard_index, out);
    }
    finish_if_complete(queries, routes, now, key, out)
}

/// Retries on another replica if the retry budget permits; otherwise treats the shard as one for
/// which no target can be called.
///
/// The budget limits the retries that add load to the targets: those of calls that were shed, or
/// that failed and may have been executed.
fn retry_within_budget(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    out: &mut Vec<Effect>,
) {
    if budget::try_spend(&mut queries.budgets.retries) {
        retry(queries, routes, now, key, shard_index, out);
    } else {
        let reason = MissingReason::Failed;
        shard::handle_no_target(queries, routes, now, key, shard_index, reason, out);
    }
}

/// Retries on another replica. Every replica is called only once, so an unavailable service causes
/// no retry storm.
fn retry(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    out: &mut Vec<Effect>,
) {
    let cause = Cause::Retry;
    let Err(reason) = shard::send_or_enqueue(queries, routes, now, key, shard_index, cause, out)
    else {
        arm_timer_for_shard(queries, now, key, shard_index, out);
        return;
    };
    let reason = match reason {
        MissingReason::NoTarget => MissingReason::Failed,
        other => other,
    };
    shard::handle_no_target(queries, routes, now, key, shard_index, reason, out);
}

/// Removes a call that has ended and updates its target; counts a stale reply if the call is
/// unknown.
fn remove_ended_call(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: CallKey,
    end: CallEnd,
    out: &mut Vec<Effect>,
) -> Option<Call> {
    detect_pause(queries, now);
    let Some(call) = queries.calls.remove(key) else {
        count_stale_reply(out);
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
        is_counted_late: call.is_counted_late,
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

fn dispatch_waiting_for(
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
    dispatch_waiting(queries, routes, now, target.service, out);
}

fn count_stale_reply(out: &mut Vec<Effect>) {
    out.push(Effect::Count {
        counter: Counter::StaleReplies,
        amount_count: 1,
    });
}
