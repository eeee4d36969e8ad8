//! Graceful shutdown: the instance goes on answering until nothing has happened for a while.

use std::time::Instant;

use model::{Effect, Level, LogLine};

use crate::State;

/// Starts the shutdown; only [`exit_if_quiet`] ends the process.
pub(crate) fn wanted(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    if state.fleet.is_leaving {
        return;
    }
    state.fleet.is_leaving = true;
    note_activity(state, now);
    out.push(Effect::Log(LogLine::new(Level::Info, "leaving")));
}

/// Notes that a request arrived or is being answered.
pub(crate) fn note_activity(state: &mut State, now: Instant) {
    state.last_activity = Some(now);
}

/// Ends the process if it shuts down and neither a request nor an answer came for the quiet time.
///
/// The quiet time follows answers too, so that the last one has left before the process ends.
pub(crate) fn exit_if_quiet(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    if !state.fleet.is_leaving {
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
        out.push(Effect::Exit);
    }
}
