//! Requests that crash the targets that execute them: evidence, and refusal.

use std::time::Instant;

use model::{
    CallFailure, CallKey, Effect, Level, LogLine, QuarantineRow, QueryKey, ReplyStatus, RequestView,
};
use query::Call;

use crate::State;

/// Targets that one shard of a query may lose before the query stops trying others.
const LOST_PER_SHARD_MAX_COUNT: usize = 2;
/// Strikes that are told to every instance at once between two ticks.
const ANNOUNCEMENTS_PER_TICK_MAX_COUNT: u32 = 4;
/// Quarantine entries in one digest, which bounds its size.
const ROWS_PER_DIGEST_MAX_COUNT: usize = 4;

/// Takes in a whole reply: a request that a target has survived is harmless.
pub(crate) fn replied(state: &mut State, call: CallKey, status: ReplyStatus) {
    if !status.is_run() || state.once.suspects.is_empty() {
        return;
    }
    let Some(call) = running_call(state, call) else {
        return;
    };
    let fingerprint = call_fingerprint(state, &call);
    exonerate(state, fingerprint);
}

/// Takes in the loss of a target that was executing a call, before the query decides on a retry.
pub(crate) fn call_failed(
    state: &mut State,
    now: Instant,
    call: CallKey,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) {
    if !failure.may_have_reached_target() {
        return;
    }
    let Some(call) = running_call(state, call) else {
        return;
    };
    let fingerprint = call_fingerprint(state, &call);
    strike(state, now, fingerprint, call.sent_at, out);
    let is_quarantined = is_quarantined(state, now, fingerprint);
    let Some(query) = state.queries.queries.get_mut(call.query) else {
        return;
    };
    let shard = &mut query.shards[call.shard_index];
    shard.lost_count += 1;
    let others_count = shard.calls.len().saturating_sub(1);
    let at_risk_count = shard.lost_count as usize + others_count;
    shard.is_retry_barred = is_quarantined || at_risk_count >= LOST_PER_SHARD_MAX_COUNT;
}

/// Counts a strike and logs a new quarantine.
pub(crate) fn strike(
    state: &mut State,
    now: Instant,
    fingerprint: u64,
    sent_at: Instant,
    out: &mut Vec<Effect>,
) {
    let was_quarantined = is_quarantined(state, now, fingerprint);
    let settings = &state.settings.once;
    let strikes_count = once::strike(&mut state.once, settings, now, fingerprint, sent_at);
    announce(state, now, fingerprint, out);
    if was_quarantined || !is_quarantined(state, now, fingerprint) {
        return;
    }
    let line = LogLine::new(Level::Warn, "request-quarantined")
        .with("fingerprint", fingerprint)
        .with("strikes_count", u64::from(strikes_count));
    out.push(Effect::Log(line));
}

/// Tells every instance of a strike at once, so that the caller cannot outrun the news.
///
/// A crash that hits many requests is told in part; the digests carry the rest.
fn announce(state: &mut State, now: Instant, fingerprint: u64, out: &mut Vec<Effect>) {
    if state.once.announced_count >= ANNOUNCEMENTS_PER_TICK_MAX_COUNT {
        return;
    }
    state.once.announced_count += 1;
    if let Some(row) = once::quarantine_row(&state.once, now, fingerprint) {
        fleet::announce(&mut state.fleet, now, &[row], out);
    }
}

/// Returns the entries for a digest.
pub(crate) fn rows(state: &State, now: Instant) -> Vec<QuarantineRow> {
    once::quarantine_rows(&state.once, now, ROWS_PER_DIGEST_MAX_COUNT)
}

/// Notes that a tick's digests have left with the given entries.
pub(crate) fn tick(state: &mut State, sent: &[QuarantineRow]) {
    state.once.announced_count = 0;
    once::quarantine_sent(&mut state.once, sent);
}

/// Takes in the entries of another instance's digest.
pub(crate) fn merge(state: &mut State, now: Instant, rows: &[QuarantineRow]) {
    once::merge_quarantine(&mut state.once, &state.settings.once, now, rows);
}

/// Clears a request that a target has survived.
pub(crate) fn exonerate(state: &mut State, fingerprint: u64) {
    once::exonerate(&mut state.once, &state.settings.once, fingerprint);
}

/// Tells whether a request must be refused because targets crashed while executing it.
pub(crate) fn is_refused(state: &State, now: Instant, request: &RequestView<'_>) -> bool {
    if state.once.suspects.is_empty() {
        return false;
    }
    match request.service {
        Some(service) => {
            let fingerprint = once::fingerprint(request.front, Some(service), request.body);
            is_quarantined(state, now, fingerprint)
        }
        None => is_refused_anywhere(state, now, request.front, request.body),
    }
}

/// Tells whether a query that waits must not be started any more.
pub(crate) fn is_query_refused(state: &State, now: Instant, key: QueryKey) -> bool {
    if state.once.suspects.is_empty() {
        return false;
    }
    let Some(query) = state.queries.queries.get(key) else {
        return false;
    };
    match query.service.as_deref() {
        Some(service) => {
            let fingerprint = once::fingerprint(&query.front, Some(service), &query.body);
            is_quarantined(state, now, fingerprint)
        }
        None => is_refused_anywhere(state, now, &query.front, &query.body),
    }
}

fn is_refused_anywhere(state: &State, now: Instant, front: &str, body: &[u8]) -> bool {
    let Some(row) = state.routes.fronts.get(front) else {
        return false;
    };
    let body_hash = once::body_hash(body);
    let mut services = row.shard_maps.iter().flat_map(|map| map.services.iter());
    services.any(|&service| {
        let Some(service) = state.routes.services.get(service) else {
            return false;
        };
        let fingerprint = once::fingerprint_with(front, Some(&service.name), body_hash);
        is_quarantined(state, now, fingerprint)
    })
}

/// Tells whether targets crashed too often while executing a request.
pub(crate) fn is_quarantined(state: &State, now: Instant, fingerprint: u64) -> bool {
    let is_released = || {
        let note = state.fleet.note.as_ref();
        note.is_some_and(|note| note.fleet.released_fingerprints.contains(&fingerprint))
    };
    once::is_quarantined(&state.once, &state.settings.once, now, fingerprint) && !is_released()
}

/// Returns a call that its query still waits for.
fn running_call(state: &State, call: CallKey) -> Option<Call> {
    let call = *state.queries.calls.get(call)?;
    let is_running = call.cancelled_at.is_none() && state.queries.queries.contains_key(call.query);
    is_running.then_some(call)
}

fn call_fingerprint(state: &State, call: &Call) -> u64 {
    let query = &state.queries.queries[call.query];
    let service = &query.shards[call.shard_index].name;
    once::fingerprint(&query.front, Some(service), &query.body)
}
