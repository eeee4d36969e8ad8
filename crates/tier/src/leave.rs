//! Graceful shutdown: the instance goes on answering until nothing has happened for a while.

use std::time::{Duration, Instant};

use model::{Effect, Level, LogLine};

use crate::State;

/// Time before the machine ends the process at which new requests are refused, so that callers turn
/// to another instance while they still can.
const REFUSE_BEFORE: Duration = Duration::from_millis(1_500);
/// Time before the machine ends the process at which requests in progress get their final answer.
const ANSWER_BEFORE: Duration = Duration::from_millis(900);
/// Time before the machine ends the process at which it ends by itself; the last answers have left.
const EXIT_BEFORE: Duration = Duration::from_millis(500);

/// Starts the shutdown; only [`exit_if_quiet`] ends the process.
pub(crate) fn wanted(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    if state.fleet.is_leaving {
        return;
    }
    state.fleet.is_leaving = true;
    state.leaving_since = Some(now);
    note_activity(state, now);
    out.push(Effect::Log(LogLine::new(Level::Info, "leaving")));
}

/// Notes that a request arrived or is being answered.
pub(crate) fn note_activity(state: &mut State, now: Instant) {
    state.last_activity = Some(now);
}

/// Tells whether a shutdown has come so far that new requests are refused.
pub(crate) fn is_refusing(state: &State, now: Instant) -> bool {
    // After the end was asked for, ports close and what still comes in cannot be finished.
    state.is_exiting || is_within(state, now, REFUSE_BEFORE)
}

/// Gives requests in progress their final answer, and ends the process, before the machine does.
pub(crate) fn end_before_limit(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    if is_within(state, now, ANSWER_BEFORE)
        && let Some(gateway) = &mut state.gateway
    {
        gateway::finish_all(gateway, now, out);
    }
    if is_within(state, now, EXIT_BEFORE) && !state.is_exiting {
        out.push(Effect::Log(
            LogLine::new(Level::Info, "exiting").with("reason", "limit"),
        ));
        state.is_exiting = true;
        out.push(Effect::Exit);
    }
}

/// Tells whether less than a time is left until the machine ends the process.
fn is_within(state: &State, now: Instant, before: Duration) -> bool {
    let gateway = state.settings.gateway.as_ref();
    let limit = gateway.map(|gateway| gateway.shutdown_limit);
    match (state.leaving_since, limit) {
        (Some(since), Some(limit)) => now >= since + limit.saturating_sub(before),
        _ => false,
    }
}

/// Ends the process if it shuts down and neither a request nor an answer came for the quiet time.
///
/// The quiet time follows answers too, so that the last one has left before the process ends.
pub(crate) fn exit_if_quiet(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    if !state.fleet.is_leaving || state.is_exiting {
        return;
    }
    let gateway = state.gateway.as_ref();
    let has_exchanges = gateway.is_some_and(|gateway| !gateway.exchanges.is_empty());
    if has_exchanges || !state.queries.queries.is_empty() || !state.once.waits.is_empty() {
        note_activity(state, now);
        return;
    }
    let quiet_since = state.last_activity.unwrap_or(now);
    if now.saturating_duration_since(quiet_since) >= state.settings.fleet.leave_quiet {
        out.push(Effect::Log(
            LogLine::new(Level::Info, "exiting").with("reason", "quiet"),
        ));
        state.is_exiting = true;
        out.push(Effect::Exit);
    }
}
