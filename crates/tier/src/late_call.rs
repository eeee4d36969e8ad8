//! Calls that end after their query has ended at its deadline or because its caller disconnected.
//!
//! Their end may resolve an unknown outcome, or add or clear a quarantine strike.

use std::time::Instant;

use bytes::Bytes;
use model::{
    Answer, CallFailure, CallKey, Coverage, Effect, Missing, MissingReason, Outcome, QueryKey,
    ReplyStatus, ReplyView, ShardResult,
};
use once::{Evidence, LateCall};

use crate::{State, quarantine, quarantine::Strike, ticket};

/// Tracks the calls in flight of a query that is about to end without them.
pub(crate) fn track_in_flight(state: &mut State, key: QueryKey) {
    let Some(query) = state.queries.queries.get(key) else {
        return;
    };
    let body_hash = once::body_hash(&query.body);
    for shard in &query.shards {
        let fingerprint = once::fingerprint_of_hashed(&query.front, Some(&shard.name), body_hash);
        for &key in &shard.calls {
            let Some(call) = state.queries.calls.get(key) else {
                continue;
            };
            let late = LateCall {
                fingerprint,
                service: shard.name.clone(),
                ticket: query.ticket.clone(),
                sent_at: call.sent_at,
            };
            once::track_late_call(&mut state.once, key, late);
        }
    }
}

/// Handles the reply to a late call.
pub(crate) fn on_reply(
    state: &mut State,
    now: Instant,
    call: CallKey,
    reply: &ReplyView<'_>,
    out: &mut Vec<Effect>,
) {
    let Some(late) = once::take_late_call(&mut state.once, call) else {
        return;
    };
    if reply.status.is_executed() {
        quarantine::clear_strikes(state, now, late.fingerprint, &late.service, out);
    }
    let mut evidence = Evidence::default();
    evidence.record_reply(reply.status);
    let result = match reply.status {
        ReplyStatus::Done => Some(reply.body),
        _ => None,
    };
    correct_outcome(state, &late, &evidence, result);
}

/// Handles the failure of a late call.
pub(crate) fn on_failure(
    state: &mut State,
    now: Instant,
    call: CallKey,
    failure: CallFailure,
    out: &mut Vec<Effect>,
) {
    let Some(late) = once::take_late_call(&mut state.once, call) else {
        return;
    };
    let running = state.queries.calls.get(call);
    let is_abandoned = running.is_some_and(|call| call.is_abandoned);
    if failure.may_have_reached_target() && !is_abandoned {
        let strike = Strike {
            fingerprint: late.fingerprint,
            request_id: "",
            service: &late.service,
            target: "",
            sent_at: late.sent_at,
            lost_at: now,
        };
        quarantine::record_strike(state, now, &strike, out);
    }
    let mut evidence = Evidence::default();
    evidence.record_failure(failure);
    correct_outcome(state, &late, &evidence, None);
}

/// Replaces the stored unknown outcome of an at-most-once request by the outcome known now.
///
/// At most one call of such a request has an uncertain execution, so the end of that call
/// determines the outcome.
fn correct_outcome(state: &mut State, late: &LateCall, evidence: &Evidence, result: Option<&[u8]>) {
    let Some(ticket) = &late.ticket else { return };
    let outcome = once::outcome(evidence);
    if matches!(outcome, Outcome::Unknown(_)) {
        return;
    }
    let service = late.service.clone();
    let (missing, results) = match result {
        Some(body) => {
            let body = Bytes::copy_from_slice(body);
            (Vec::new(), vec![ShardResult { service, body }])
        }
        None => {
            let reason = MissingReason::Failed;
            (vec![Missing { service, reason }], Vec::new())
        }
    };
    let answer = Answer {
        coverage: Coverage {
            answered_count: u32::from(result.is_some()),
            total_count: 1,
            missing,
        },
        results,
        ..ticket::answer_without_results("", outcome)
    };
    once::replace_unknown_outcome(&mut state.once, &state.settings.once, ticket, &answer);
}
