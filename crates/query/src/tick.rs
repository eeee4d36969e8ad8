//! Periodic maintenance of queries.

use std::time::{Duration, Instant};

use model::Effect;
use route::Routes;

use crate::{Queries, defer::retry_deferred, waiting::dispatch_all_waiting};

/// Time after which the connection of a cancelled call that has not ended is dropped.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without any event, ticks included, after which the process counts as paused; it spans
/// several ticks.
const PAUSE_MIN_GAP: Duration = Duration::from_millis(600);

/// Drops the connections of cancelled calls that have not ended, and retries deferred and waiting
/// shards.
pub fn tick(queries: &mut Queries, routes: &mut Routes, now: Instant, out: &mut Vec<Effect>) {
    detect_pause(queries, now);
    for (key, call) in &mut queries.calls {
        let is_overdue = call
            .cancelled_at
            .is_some_and(|cancelled_at| now >= cancelled_at + CANCEL_TIMEOUT);
        if !is_overdue || call.is_abandoned {
            continue;
        }
        call.is_abandoned = true;
        out.push(Effect::DropCall {
            call: key,
            target: call.target,
        });
    }
    retry_deferred(queries, routes, now, out);
    dispatch_all_waiting(queries, routes, now, out);
}

/// Records the time of an event. After a gap the process counts as paused, and the calls in flight
/// are no longer judged by their age.
pub(crate) fn detect_pause(queries: &mut Queries, now: Instant) {
    let last_event_at = queries.last_event_at.replace(now);
    if last_event_at.is_some_and(|last| now >= last + PAUSE_MIN_GAP) {
        queries.resumed_at = Some(now);
    }
}
