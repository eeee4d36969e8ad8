//! Graceful shutdown: the instance keeps serving until it has been idle for a configured time.
//!
//! An instance with a gateway is killed at the shutdown limit, so before that limit it refuses new
//! requests, answers those in flight and exits.

use std::time::{Duration, Instant};

use model::{Effect, Level, LogLine};

use crate::{State, quota};

/// Time before the shutdown limit at which new requests are refused, so that callers can still
/// retry at another instance.
const REFUSE_BEFORE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time before the shutdown limit at which requests in flight get their final answer.
const ANSWER_BEFORE_LIMIT: Duration = Duration::from_millis(900);
/// Time before the shutdown limit at which the process exits; the last answers have been sent by
/// then.
const EXIT_BEFORE_LIMIT: Duration = Duration::from_millis(500);

/// Starts the shutdown.
///
/// The process exits later, by [`exit_if_idle`] or [`enforce_limit`]. A second call has no
/// effect.
pub(crate) fn on_shutdown_request(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    if state.fleet.is_leaving {
        return;
    }
    state.fleet.is_leaving = true;
    state.leaving_since = Some(now);
    quota::on_leaving(state, now);
    record_activity(state, now);
    out.push(Effect::Log(LogLine::new(Level::Info, "leaving")));
}

/// Restarts the idle period: a request arrived or is in flight.
pub(crate) fn record_activity(state: &mut State, now: Instant) {
    state.last_activity_at = Some(now);
}

/// Returns whether new requests are refused because the process is about to exit.
pub(crate) fn is_refusing_requests(state: &State, now: Instant) -> bool {
    // The ports close once `Effect::Exit` is emitted; requests that still arrive cannot complete.
    state.is_exiting || is_limit_within(state, now, REFUSE_BEFORE_LIMIT)
}

/// Answers the requests in flight and exits before the shutdown limit.
pub(crate) fn enforce_limit(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    if is_limit_within(state, now, ANSWER_BEFORE_LIMIT)
        && let Some(gateway) = &mut state.gateway
    {
        gateway::finish_all(gateway, now, out);
    }
    if is_limit_within(state, now, EXIT_BEFORE_LIMIT) && !state.is_exiting {
        out.push(Effect::Log(
            LogLine::new(Level::Info, "exiting").with("reason", "limit"),
        ));
        state.is_exiting = true;
        out.push(Effect::Exit);
    }
}

/// Returns whether the shutdown limit is at most `before` away.
///
/// Without a gateway there is no shutdown limit.
fn is_limit_within(state: &State, now: Instant, before: Duration) -> bool {
    let gateway = state.settings.gateway.as_ref();
    let limit = gateway.map(|gateway| gateway.shutdown_limit);
    match (state.leaving_since, limit) {
        (Some(since), Some(limit)) => now >= since + limit.saturating_sub(before),
        _ => false,
    }
}

/// Exits if the instance is shutting down and has been idle for `fleet.leave_quiet`.
///
/// The idle period also restarts while requests are in flight, so that the last answer is sent
/// before the process exits.
pub(crate) fn exit_if_idle(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    if !state.fleet.is_leaving || state.is_exiting {
        return;
    }
    let gateway = state.gateway.as_ref();
    let has_exchanges =
        gateway.is_some_and(|gateway| !gateway.exchanges.is_empty() || !gateway.held.is_empty());
    if has_exchanges || !state.queries.queries.is_empty() || !state.once.waiters.is_empty() {
        record_activity(state, now);
        return;
    }
    let idle_since = state.last_activity_at.unwrap_or(now);
    if now.saturating_duration_since(idle_since) >= state.settings.fleet.leave_quiet {
        out.push(Effect::Log(
            LogLine::new(Level::Info, "exiting").with("reason", "quiet"),
        ));
        state.is_exiting = true;
        out.push(Effect::Exit);
    }
}
