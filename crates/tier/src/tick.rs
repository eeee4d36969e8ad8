//! The regular tick, and the detection of pauses of the process.

use std::time::Instant;

use model::{Counter, Effect, Level, LogLine, Timer};

use crate::{State, gateway, leave, platform, poison, request};

/// Sets the first tick.
pub(crate) fn started(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    state.last_tick = Some(now);
    out.push(Effect::SetTimer {
        timer: Timer::Tick,
        after: state.settings.fleet.tick,
    });
}

/// Runs the regular work of every area and sets the next tick.
pub(crate) fn due(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    state.last_tick = Some(now);
    let rows = poison::rows(state, now);
    fleet::tick(&mut state.fleet, &state.settings, now, &rows, out);
    poison::tick(state, &rows);
    platform::divide(state, out);
    platform::confine(state, now);
    request::tick(state, now, out);
    gateway::tick(state, now, out);
    note_callable_targets(state, now);
    leave::end_before_limit(state, now, out);
    leave::exit_if_quiet(state, now, out);
    out.push(Effect::SetTimer {
        timer: Timer::Tick,
        after: state.settings.fleet.tick,
    });
}

/// Notes that the targets are known and that this instance's part of them is in force, without
/// which a query would be refused.
///
/// After the limit for joining it serves with what it has, so that a fleet that changes all the time
/// does not keep an instance from serving.
fn note_callable_targets(state: &mut State, now: Instant) {
    // Until it has joined, the instance may take itself for alone and every target for its own.
    if state.can_call_targets || !fleet::is_joined(&state.fleet) {
        return;
    }
    if !route::is_every_target_asked(&state.routes) {
        return;
    }
    let asked_at = *state.targets_asked_at.get_or_insert(now);
    let has_waited = now.saturating_duration_since(asked_at) >= state.settings.fleet.join_limit;
    state.can_call_targets = has_waited || !state.routes.division.is_growing;
}

/// Notices a pause: the tick is later than the threshold allows, whatever event comes first.
pub(crate) fn notice_pause(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    let Some(last_tick) = state.last_tick else {
        return;
    };
    let fleet = &state.settings.fleet;
    let late_by = now.saturating_duration_since(last_tick + fleet.tick);
    if late_by < fleet.pause_threshold {
        return;
    }
    state.last_tick = Some(now);
    platform::paused(state, now, late_by);
    out.push(Effect::Count {
        counter: Counter::Pauses,
        amount_count: 1,
    });
    let late_ms = u64::try_from(late_by.as_millis()).unwrap_or(u64::MAX);
    out.push(Effect::Log(
        LogLine::new(Level::Warn, "process-paused").with("late_ms", late_ms),
    ));
}
