//! Hedging: a further call to another replica for a shard whose call is late.

use std::time::{Duration, Instant};

use model::{CallKey, Effect, QueryKey, Timer};
use route::Routes;

use crate::{
    Cause, Queries, Query, Shard, ShardState, budget,
    send::{SendOutcome, send},
    waiting::is_contended,
};

/// Shortest delay of a hedge timer, so that shards that become late shortly after one another share
/// a timer.
const TIMER_GRANULARITY: Duration = Duration::from_millis(1);
/// A late shard is checked again after the age at which its calls count as late, divided by this.
const RECHECK_DIVISOR: u32 = 4;
/// The process counts as paused if a timer fires later than due by more than this.
const PAUSE_MIN_DELAY: Duration = Duration::from_millis(20);

/// Sets the hedge timer of a query for the first of its calls that will be late.
pub(crate) fn arm_timer(queries: &mut Queries, now: Instant, key: QueryKey, out: &mut Vec<Effect>) {
    let Some(query) = queries.queries.get_mut(key) else {
        return;
    };
    if query.ticket.is_some() {
        return;
    }
    let due = query.shards.iter().filter(|shard| is_awaiting_reply(shard));
    let Some(due) = due.filter_map(|shard| shard.late_at).min() else {
        query.hedge_due = None;
        return;
    };
    arm_timer_at(query, now, key, due, out);
}

/// Sets the hedge timer of a query for the call of one shard, unless it is set to an earlier time.
pub(crate) fn arm_timer_for_shard(
    queries: &mut Queries,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    out: &mut Vec<Effect>,
) {
    let Some(query) = queries.queries.get_mut(key) else {
        return;
    };
    if query.ticket.is_some() {
        return;
    }
    let Some(late_at) = query.shards[shard_index].late_at else {
        return;
    };
    arm_timer_at(query, now, key, late_at, out);
}

fn arm_timer_at(
    query: &mut Query,
    now: Instant,
    key: QueryKey,
    late_at: Instant,
    out: &mut Vec<Effect>,
) {
    let due = late_at.max(now + TIMER_GRANULARITY);
    if query.hedge_due.is_some_and(|set| set > now && set <= due) {
        return;
    }
    query.hedge_due = Some(due);
    out.push(Effect::SetTimer {
        timer: Timer::Hedge(key),
        after: due - now,
    });
}

/// Handles the hedge timer: hedges the late calls of a query as far as the budget permits.
///
/// If `is_overloaded`, calls are hedged only to relieve a cold target that is above its ramp limit,
/// because further calls would lengthen the queues.
pub fn on_hedge_timer(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    is_overloaded: bool,
    out: &mut Vec<Effect>,
) {
    let Some(query) = queries.queries.get_mut(key) else {
        return;
    };
    let Some(due) = query.hedge_due.filter(|&due| due <= now) else {
        return;
    };
    query.hedge_due = None;
    let shards_count = query.shards.len();
    if now > due + PAUSE_MIN_DELAY {
        // After a pause all timers are late at once, and replies may have arrived but not been
        // read.
        queries.resumed_at = Some(now);
        schedule_all_rechecks(queries, routes, now, key);
    } else {
        for shard_index in 0..shards_count {
            hedge_shard(queries, routes, now, key, shard_index, is_overloaded, out);
        }
    }
    arm_timer(queries, now, key, out);
}

fn hedge_shard(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    key: QueryKey,
    shard_index: usize,
    is_overloaded: bool,
    out: &mut Vec<Effect>,
) {
    let shard = &mut queries.queries[key].shards[shard_index];
    let is_late = shard.late_at.is_some_and(|late_at| late_at <= now);
    if !is_late || !is_awaiting_reply(shard) {
        return;
    }
    let service = shard.service;
    let calls = shard.calls.clone();
    schedule_recheck(shard, routes, now, RECHECK_DIVISOR);
    record_late_calls(queries, routes, now, &calls, out);
    if !has_spare_replica(queries, routes, key, shard_index) {
        return;
    }
    // Calls to a cold target above its ramp limit are hedged regardless of the budget and of
    // overload, because they would keep the target from warming up.
    let has_target_above_ramp_limit = calls.iter().any(|&call| {
        let call = queries.calls.get(call);
        call.is_some_and(|call| route::is_above_ramp_limit(routes, call.target))
    });
    let is_congested = is_overloaded || is_contended(queries, service, now);
    if !has_target_above_ramp_limit
        && (is_congested || !budget::try_spend(&mut queries.budgets.hedges))
    {
        return;
    }
    let sent = send(queries, routes, now, key, shard_index, Cause::Hedge, out);
    if sent != Ok(SendOutcome::Sent) && !has_target_above_ramp_limit {
        queries.budgets.hedges.available_count += 1.0;
    }
}

/// Returns whether a replica that was not called yet has spare capacity.
fn has_spare_replica(
    queries: &Queries,
    routes: &Routes,
    key: QueryKey,
    shard_index: usize,
) -> bool {
    let shard = &queries.queries[key].shards[shard_index];
    let Some(service) = routes.services.get(shard.service) else {
        return false;
    };
    let mut targets = service.targets.iter();
    targets
        .any(|&target| !shard.tried.contains(&target) && route::has_spare_capacity(routes, target))
}

/// Counts late calls against their targets, each call once.
///
/// Calls that were sent before the last pause of the process are not counted.
fn record_late_calls(
    queries: &mut Queries,
    routes: &mut Routes,
    now: Instant,
    calls: &[CallKey],
    out: &mut Vec<Effect>,
) {
    for &key in calls {
        let Some(call) = queries.calls.get_mut(key) else {
            continue;
        };
        if queries.resumed_at.is_some_and(|at| call.sent_at < at) {
            continue;
        }
        let age = now - call.sent_at;
        let is_late =
            route::is_late_for_queue_depth(routes, call.target, age, call.calls_per_slot_count);
        if is_late && !std::mem::replace(&mut call.is_counted_late, true) {
            route::record_late_call(routes, now, call.target, out);
        } else {
            route::check_responsiveness(routes, now, call.target, out);
        }
    }
}

/// Schedules the next check of a shard, after the age at which calls count as late divided by
/// `divisor`.
fn schedule_recheck(shard: &mut Shard, routes: &Routes, now: Instant, divisor: u32) {
    let service = routes.services.get(shard.service);
    shard.late_at = service
        .and_then(|service| service.latency.late_after)
        .map(|late_after| now + late_after / divisor);
}

fn schedule_all_rechecks(queries: &mut Queries, routes: &Routes, now: Instant, key: QueryKey) {
    for shard in &mut queries.queries[key].shards {
        if shard.late_at.is_some() {
            schedule_recheck(shard, routes, now, 1);
        }
    }
}

fn is_awaiting_reply(shard: &Shard) -> bool {
    matches!(shard.state, ShardState::Open) && !shard.calls.is_empty()
}
