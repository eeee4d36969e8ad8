//! The regular work on queries.

use std::time::{Duration, Instant};

use model::Effect;
use route::Routes;

use crate::{Queries, park::unpark, waiting::wake_all};

/// Time after which a cancelled call that has not ended costs its connection.
const CANCEL_GRACE: Duration = Duration::from_secs(1);
/// Time without any event after which the process counts as paused; several ticks.
const PAUSE_GAP: Duration = Duration::from_millis(600);

/// Drops the connections of cancelled calls that do not end, and serves shards that wait.
pub fn tick(queries: &mut Queries, routes: &mut Routes, now: Instant, out: &mut Vec<Effect>) {
    note_event(queries, now);
    for (key, call) in &mut queries.calls {
        let is_overdue = call
            .cancelled_at
            .is_some_and(|cancelled_at| now >= cancelled_at + CANCEL_GRACE);
        if !is_overdue || call.is_abandoned {
            continue;
        }
        call.is_abandoned = true;
        out.push(Effect::Abandon {
            call: key,
            target: call.target,
        });
    }
    unpark(queries, routes, now, out);
    wake_all(queries, routes, now, out);
}

/// Notes the time of an event; after a gap, the ages of all calls are worthless.
pub(crate) fn note_event(queries: &mut Queries, now: Instant) {
    let last_event_at = queries.last_event_at.replace(now);
    if last_event_at.is_some_and(|last| now >= last + PAUSE_GAP) {
        queries.resumed_at = Some(now);
    }
}
