//! Quarantine of requests that crash the targets that execute them.
//!
//! Each target lost while it executes a request is a strike against the request's fingerprint; with
//! too many strikes the request is refused.

use std::time::Instant;

use model::{
    CallFailure, CallKey, Counter, Effect, Level, LogLine, Observations, QuarantineUpdate,
    QueryKey, ReplyStatus, RequestView,
};
use query::Call;

use crate::State;

/// Targets that one shard of a query may lose before its call is no longer retried.
const TARGETS_LOST_PER_SHARD_MAX_COUNT: usize = 2;
/// Strikes announced immediately to every instance between two ticks.
const ANNOUNCEMENTS_PER_TICK_MAX_COUNT: u32 = 4;
/// Changed quarantine entries in one digest; bounds the digest's size.
const CHANGED_PER_DIGEST_MAX_COUNT: usize = 4;
/// Unchanged quarantine entries that one digest repeats.
const REPEATED_PER_DIGEST_MAX_COUNT: usize = 2;

/// Handles a complete reply: if the target executed the request without crashing, the request's
/// strikes are cleared.
pub(crate) fn on_reply(
    state: &mut State,
    now: Instant,
    call: CallKey,
    status: ReplyStatus,
    out: &mut Vec<Effect>,
) {
    if !status.is_executed() || state.once.quarantine_entries.is_empty() {
        return;
    }
    let Some(call) = running_call(state, call) else {
        return;
    };
    let fingerprint = call_fingerprint(state, &call);
    let service = state.queries.queries[call.query].shards[call.shard_index]
        .name
        .clone();
    clear_strikes(state, now, fingerprint, &service, out);
}

/// Handles the loss of a target that may have been executing a call.
///
/// Must run before the query handles the failure, because it decides whether a retry is allowed.
pub(crate) fn on_failure(
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
    let query = &state.queries.queries[call.query];
    let service = query.shards[call.shard_index].name.clone();
    let request_id = query.request_id.clone();
    let target = state.routes.targets.get(call.target);
    let target = target.map_or_else(String::new, |target| target.name.to_string());
    let strike = Strike {
        fingerprint,
        request_id: &request_id,
        service: &service,
        target: &target,
        sent_at: call.sent_at,
        lost_at: now,
    };
    record_strike(state, now, &strike, out);
    let is_quarantined = is_fingerprint_quarantined(state, now, fingerprint);
    let Some(query) = state.queries.queries.get_mut(call.query) else {
        return;
    };
    let shard = &mut query.shards[call.shard_index];
    shard.lost_count += 1;
    let others_count = shard.calls.len().saturating_sub(1);
    let at_risk_count = shard.lost_count as usize + others_count;
    shard.is_retry_barred = is_quarantined || at_risk_count >= TARGETS_LOST_PER_SHARD_MAX_COUNT;
}

/// A target lost while it executed a request.
pub(crate) struct Strike<'a> {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Identifier of the request; empty if it has been answered.
    pub request_id: &'a str,
    /// Service of the target.
    pub service: &'a str,
    /// The target; empty if it is no longer known.
    pub target: &'a str,
    /// When the request was sent to the target.
    pub sent_at: Instant,
    /// By when the target had ended.
    pub lost_at: Instant,
}

/// Records, logs and announces a strike, unless the service has recently executed the request; logs
/// the start of a quarantine.
pub(crate) fn record_strike(
    state: &mut State,
    now: Instant,
    strike: &Strike<'_>,
    out: &mut Vec<Effect>,
) {
    let fingerprint = strike.fingerprint;
    let was_quarantined = is_fingerprint_quarantined(state, now, fingerprint);
    let settings = &state.settings.once;
    let observed = once::ObservedStrike {
        fingerprint,
        service: strike.service,
        sent_at: strike.sent_at,
        lost_at: strike.lost_at,
    };
    let Some(strikes_count) = once::add_strike(&mut state.once, settings, now, &observed) else {
        return;
    };
    let took = now.saturating_duration_since(strike.sent_at);
    let line = LogLine::new(Level::Info, "strike-recorded")
        .with("request_id", strike.request_id)
        .with("fingerprint", fingerprint)
        .with("service", strike.service)
        .with("target", strike.target)
        .with(
            "after_ms",
            u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        )
        .with("strikes_count", u64::from(strikes_count));
    out.push(Effect::Log(line));
    count(out, Counter::Strikes);
    announce(state, now, fingerprint, out);
    if was_quarantined || !is_fingerprint_quarantined(state, now, fingerprint) {
        return;
    }
    let line = LogLine::new(Level::Warn, "request-quarantined")
        .with("fingerprint", fingerprint)
        .with("strikes_count", u64::from(strikes_count));
    out.push(Effect::Log(line));
    stop_exchanges(state, fingerprint);
}

/// Announces strikes or their clearance to every instance immediately, because a caller that
/// retries at other instances can be faster than the gossiped digests.
///
/// Announcements are limited per tick, since one crash can strike many requests; the digests carry
/// the rest.
fn announce(state: &mut State, now: Instant, fingerprint: u64, out: &mut Vec<Effect>) {
    if state.once.announced_strikes_count >= ANNOUNCEMENTS_PER_TICK_MAX_COUNT {
        return;
    }
    state.once.announced_strikes_count += 1;
    if let Some(update) = once::quarantine_update(&state.once, now, fingerprint) {
        let observations = Observations {
            quarantine: vec![update],
            rate_limits: Vec::new(),
        };
        fleet::broadcast_observations(&mut state.fleet, now, &observations, out);
        once::mark_quarantine_announced(&mut state.once, fingerprint);
    }
}

/// Returns the quarantine updates to include in a digest.
pub(crate) fn digest_updates(state: &State, now: Instant) -> Vec<QuarantineUpdate> {
    once::quarantine_updates(
        &state.once,
        now,
        CHANGED_PER_DIGEST_MAX_COUNT,
        REPEATED_PER_DIGEST_MAX_COUNT,
    )
}

/// Marks updates as sent with this tick's digests, resets the announcement limit, and confirms
/// quarantines.
pub(crate) fn tick(state: &mut State, now: Instant, sent: &[QuarantineUpdate]) {
    once::confirm_quarantines(&mut state.once, now);
    state.once.announced_strikes_count = 0;
    once::mark_quarantine_sent(&mut state.once, sent);
}

/// Merges the quarantine updates of another instance's digest, and logs the requests that are
/// quarantined by them.
pub(crate) fn merge_updates(
    state: &mut State,
    now: Instant,
    from: &str,
    updates: &[QuarantineUpdate],
    out: &mut Vec<Effect>,
) {
    let unquarantined = updates.iter().map(|update| update.fingerprint);
    let unquarantined: Vec<u64> = unquarantined
        .filter(|&fingerprint| !is_fingerprint_quarantined(state, now, fingerprint))
        .collect();
    once::merge_quarantine(&mut state.once, &state.settings.once, now, updates);
    for fingerprint in unquarantined {
        if is_fingerprint_quarantined(state, now, fingerprint) {
            let line = LogLine::new(Level::Warn, "quarantine-learned")
                .with("fingerprint", fingerprint)
                .with("from", from);
            out.push(Effect::Log(line));
            stop_exchanges(state, fingerprint);
        }
    }
}

/// Clears the strikes of a request at a service that has executed it without crashing, and logs it.
pub(crate) fn clear_strikes(
    state: &mut State,
    now: Instant,
    fingerprint: u64,
    service: &str,
    out: &mut Vec<Effect>,
) {
    if !once::clear_strikes(
        &mut state.once,
        &state.settings.once,
        now,
        fingerprint,
        service,
    ) {
        return;
    }
    let line = LogLine::new(Level::Info, "strikes-cleared")
        .with("fingerprint", fingerprint)
        .with("service", service);
    out.push(Effect::Log(line));
    count(out, Counter::StrikesCleared);
    announce(state, now, fingerprint, out);
}

/// Stops the gateway's exchanges of a request that has just been quarantined.
fn stop_exchanges(state: &mut State, fingerprint: u64) {
    if let Some(gateway) = &mut state.gateway {
        gateway::on_quarantined(gateway, fingerprint);
    }
}

fn count(out: &mut Vec<Effect>, counter: Counter) {
    out.push(Effect::Count {
        counter,
        amount_count: 1,
    });
}

/// Returns whether a request is quarantined; without a service, for any service of its front.
pub(crate) fn is_request_quarantined(
    state: &State,
    now: Instant,
    request: &RequestView<'_>,
) -> bool {
    if state.once.quarantine_entries.is_empty() {
        return false;
    }
    match request.service {
        Some(service) => {
            let fingerprint = once::fingerprint(request.front, Some(service), request.body);
            is_fingerprint_quarantined(state, now, fingerprint)
        }
        None => is_any_service_quarantined(state, now, request.front, request.body),
    }
}

/// Returns whether a queued query has been quarantined since it was accepted.
pub(crate) fn is_query_quarantined(state: &State, now: Instant, key: QueryKey) -> bool {
    if state.once.quarantine_entries.is_empty() {
        return false;
    }
    let Some(query) = state.queries.queries.get(key) else {
        return false;
    };
    match query.service.as_deref() {
        Some(service) => {
            let fingerprint = once::fingerprint(&query.front, Some(service), &query.body);
            is_fingerprint_quarantined(state, now, fingerprint)
        }
        None => is_any_service_quarantined(state, now, &query.front, &query.body),
    }
}

fn is_any_service_quarantined(state: &State, now: Instant, front_name: &str, body: &[u8]) -> bool {
    let Some(front) = state.routes.fronts.get(front_name) else {
        return false;
    };
    let body_hash = once::body_hash(body);
    let mut services = front.shard_maps.iter().flat_map(|map| map.services.iter());
    services.any(|&service| {
        let Some(service) = state.routes.services.get(service) else {
            return false;
        };
        let fingerprint = once::fingerprint_of_hashed(front_name, Some(&service.name), body_hash);
        is_fingerprint_quarantined(state, now, fingerprint)
    })
}

/// Returns whether a fingerprint is quarantined and not released by the accepted configuration.
pub(crate) fn is_fingerprint_quarantined(state: &State, now: Instant, fingerprint: u64) -> bool {
    let is_released = || {
        let note = state.fleet.note.as_ref();
        note.is_some_and(|note| note.fleet.released_fingerprints.contains(&fingerprint))
    };
    once::is_quarantined(&state.once, now, fingerprint) && !is_released()
}

/// Returns whether a request that arrives is refused: it is quarantined, or has uncleared strikes at
/// as many services as strikes are allowed, or has strikes while this instance is in contact with
/// less than half of the fleet.
///
/// Targets of several services that end at the same moment count as one strike for the request that
/// was in progress, because its retries may still show that it is harmless. By the next arrival
/// they have had the time to. Strikes that the others observe do not reach an instance without
/// contact, and each of them could add up to the limit by itself.
pub(crate) fn is_refused_on_arrival(state: &State, now: Instant, fingerprint: u64) -> bool {
    let struck_services_count = once::struck_services_count(&state.once, now, fingerprint);
    is_fingerprint_quarantined(state, now, fingerprint)
        || struck_services_count >= state.settings.once.strikes_max_count as usize
        || (once::strikes_count(&state.once, now, fingerprint) > 0
            && fleet::is_in_minority(&state.fleet, now))
}

/// Returns a call that is not cancelled and whose query still runs.
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
