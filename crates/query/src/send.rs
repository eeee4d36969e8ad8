//! Sending calls to targets.

use std::time::Instant;

use model::{Counter, Effect, MissingReason, QueryKey, TargetCall};
use route::{Criteria, Routes, SelectError};

use crate::{Call, Cause, Queries, budget};

/// Result of sending a call, if its service is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// The call was sent.
    Sent,
    /// The call was not sent, because an eligible target has reached its limit of calls in flight
    /// and no other one is available.
    Busy,
}

/// Sends a call of a shard to the eligible target with the lowest expected latency.
///
/// # Errors
///
/// Returns why no target can be called.
pub(crate) fn send(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    cause: Cause,
    out: &mut Vec<Effect>,
) -> Result<SendOutcome, MissingReason> {
    let Some(query) = queries.queries.get_mut(key) else {
        return Err(MissingReason::Failed);
    };
    let is_idempotent = query.ticket.is_none();
    let snapshot = query.snapshot.filter(|_| is_idempotent);
    let shard = &mut query.shards[shard_index];
    let criteria = Criteria {
        service: shard.service,
        snapshot,
        zones: &query.zones,
        tried: &shard.tried,
    };
    let target = match route::select_target(routes, &criteria) {
        Ok(target) => target,
        Err(SelectError::Busy) => return Ok(SendOutcome::Busy),
        Err(SelectError::Missing(reason)) => return Err(reason),
    };
    let calls_per_slot_count = route::record_call_sent(routes, now, target);
    let call = queries.calls.insert(Call {
        query: key,
        shard_index,
        target,
        cause,
        sent_at: now,
        calls_per_slot_count,
        is_counted_late: false,
        cancelled_at: None,
        is_abandoned: false,
    });
    shard.tried.push(target);
    shard.calls.push(call);
    shard.late_at = match cause {
        Cause::Hedge => None,
        Cause::Primary | Cause::Retry => late_at(routes, shard.service, now),
    };
    let time_left = query.deadline.saturating_duration_since(now);
    out.push(Effect::Call(TargetCall {
        call,
        target,
        address: routes.targets[target].address,
        request_id: query.request_id.clone(),
        snapshot,
        timeout: time_left.saturating_sub(route::one_way_delay(routes, target)),
        is_idempotent,
        body: query.body.clone(),
    }));
    count_call(queries, cause, out);
    Ok(SendOutcome::Sent)
}

fn late_at(routes: &Routes, service: model::ServiceKey, now: Instant) -> Option<Instant> {
    let late_after = routes.services.get(service)?.latency.late_after?;
    Some(now + late_after)
}

fn count_call(queries: &mut Queries, cause: Cause, out: &mut Vec<Effect>) {
    let counter = match cause {
        Cause::Primary => {
            budget::refill(&mut queries.budgets);
            Counter::PrimaryCalls
        }
        Cause::Hedge => Counter::HedgeCalls,
        Cause::Retry => Counter::RetryCalls,
    };
    out.push(Effect::Count {
        counter,
        amount_count: 1,
    });
}
