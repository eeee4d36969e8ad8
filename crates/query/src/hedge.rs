//! Hedging: a second call to another replica for a shard whose call is late.

use std::time::{Duration, Instant};

use model::{CallKey, Effect, QueryKey, Timer};
use route::Routes;

use crate::{
    Cause, Queries, Query, Shard, ShardState, budget,
    send::{Sent, send},
    waiting::is_contended,
};

/// Shortest time between two timers of one query, so that shards that are late one after the other
/// share a timer.
const TIMER_STEP: Duration = Duration::from_millis(1);
/// A late call that could not be hedged is looked at again after this part of the time in which
/// most calls end.
const RETRY_DIVISOR: u32 = 4;
/// Lateness of a timer from which on the process counts as paused.
const PAUSE_LATENESS: Duration = Duration::from_millis(20);

/// Sets the timer for the first call of a query that will be late.
pub(crate) fn arm(queries: &mut Queries, now: Instant, key: QueryKey, out: &mut Vec<Effect>) {
    let Some(query) = queries.queries.get_mut(key) else {
        return;
    };
    if query.ticket.is_some() {
        return;
    }
    let due = query.shards.iter().filter(|shard| is_open(shard));
    let Some(due) = due.filter_map(|shard| shard.late_at).min() else {
        query.hedge_due = None;
        return;
    };
    arm_at(query, now, key, due, out);
}

/// Sets the timer for the call of a shard, unless an earlier one is set.
pub(crate) fn arm_shard(
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
    arm_at(query, now, key, late_at, out);
}

fn arm_at(query: &mut Query, now: Instant, key: QueryKey, late_at: Instant, out: &mut Vec<Effect>) {
    let due = late_at.max(now + TIMER_STEP);
    if query.hedge_due.is_some_and(|set| set > now && set <= due) {
        return;
    }
    query.hedge_due = Some(due);
    out.push(Effect::SetTimer {
        timer: Timer::Hedge(key),
        after: due - now,
    });
}

/// Looks for late calls of a query and hedges them as far as the budget allows.
///
/// `is_overloaded` forbids hedges: a second call would only lengthen the queues.
pub fn hedge(
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
    if now > due + PAUSE_LATENESS {
        // Every timer is late at once after a pause; the replies may be waiting to be read.
        queries.resumed_at = Some(now);
        postpone_all(queries, routes, now, key);
    } else {
        for shard_index in 0..shards_count {
            hedge_shard(queries, routes, now, key, shard_index, is_overloaded, out);
        }
    }
    arm(queries, now, key, out);
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
    if !is_late || !is_open(shard) {
        return;
    }
    let service = shard.service;
    let calls = shard.calls.clone();
    postpone(shard, routes, now, RETRY_DIVISOR);
    note_late(queries, routes, now, &calls, out);
    if !has_idle_replica(queries, routes, key, shard_index) {
        return;
    }
    // Calls beyond what a cold target bears are taken off it, whatever the budget says: they would
    // keep it from warming up.
    let is_rescue = calls.iter().any(|&call| {
        let call = queries.calls.get(call);
        call.is_some_and(|call| route::is_above_ramp_limit(routes, call.target))
    });
    let is_crowded = is_overloaded || is_contended(queries, service, now);
    if !is_rescue && (is_crowded || !budget::spend(&mut queries.budgets.hedges)) {
        return;
    }
    let sent = send(queries, routes, now, key, shard_index, Cause::Hedge, out);
    if sent != Ok(Sent::Called) && !is_rescue {
        queries.budgets.hedges.saved_count += 1.0;
    }
}

/// Tells whether a replica that was not tried yet would execute a call at once.
fn has_idle_replica(queries: &Queries, routes: &Routes, key: QueryKey, shard_index: usize) -> bool {
    let shard = &queries.queries[key].shards[shard_index];
    let Some(service) = routes.services.get(shard.service) else {
        return false;
    };
    let mut targets = service.targets.iter();
    targets
        .any(|&target| !shard.tried.contains(&target) && route::has_spare_capacity(routes, target))
}

/// Notes the lateness of calls, each one once as evidence against its target.
///
/// A call that was sent before the process last woke up is no evidence.
fn note_late(
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
        if is_late && !std::mem::replace(&mut call.is_noted_late, true) {
            route::record_late_call(routes, now, call.target, out);
        } else {
            route::check_responsiveness(routes, now, call.target, out);
        }
    }
}

/// Lets a shard be looked at again after a part of the time in which most calls end.
fn postpone(shard: &mut Shard, routes: &Routes, now: Instant, divisor: u32) {
    let service = routes.services.get(shard.service);
    shard.late_at = service
        .and_then(|service| service.latency.late_after)
        .map(|late_after| now + late_after / divisor);
}

fn postpone_all(queries: &mut Queries, routes: &Routes, now: Instant, key: QueryKey) {
    for shard in &mut queries.queries[key].shards {
        if shard.late_at.is_some() {
            postpone(shard, routes, now, 1);
        }
    }
}

fn is_open(shard: &Shard) -> bool {
    matches!(shard.state, ShardState::Open) && !shard.calls.is_empty()
}
