//! The periodic tick, and the detection of process pauses.

use std::time::Instant;

use model::{Counter, Effect, Level, LogLine, Timer};

use crate::{State, gateway, observations, platform, quota, request, shutdown};

/// Schedules the first tick.
pub(crate) fn on_start(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    state.last_tick_at = Some(now);
    out.push(Effect::SetTimer {
        timer: Timer::Tick,
        after: state.settings.fleet.tick,
    });
}

/// Runs all periodic work and schedules the next tick.
pub(crate) fn on_tick(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    state.last_tick_at = Some(now);
    let observations = observations::collect(state, now);
    fleet::tick(&mut state.fleet, &state.settings, now, &observations, out);
    observations::tick(state, now, &observations);
    platform::update_connection_shares(state, out);
    platform::confine_to_allowed_zones(state, now);
    request::tick(state, now, out);
    quota::tick(state, now, out);
    gateway::tick(state, now, out);
    update_can_call_targets(state, now);
    shutdown::enforce_limit(state, now, out);
    shutdown::exit_if_idle(state, now, out);
    out.push(Effect::SetTimer {
        timer: Timer::Tick,
        after: state.settings.fleet.tick,
    });
}

/// Sets `can_call_targets` once every target has been probed and this instance's connection shares
/// are in force; a query before that would be refused.
///
/// `fleet.join_limit` after the targets were probed, the instance serves with the shares it has, so
/// that constant membership changes do not keep it from becoming ready.
fn update_can_call_targets(state: &mut State, now: Instant) {
    // Before it has joined, the instance may know of no other and claim every connection.
    if state.can_call_targets || !fleet::is_joined(&state.fleet) {
        return;
    }
    if !route::has_probed_every_target(&state.routes) {
        return;
    }
    let probed_at = *state.targets_probed_at.get_or_insert(now);
    let is_join_limit_over =
        now.saturating_duration_since(probed_at) >= state.settings.fleet.join_limit;
    state.can_call_targets = is_join_limit_over || !state.routes.division.is_growing;
}

/// Detects a pause of the process: the tick is overdue by `fleet.pause_threshold` or more.
///
/// Runs before every event, because any event may be the first one after a pause.
pub(crate) fn detect_pause(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    let Some(last_tick_at) = state.last_tick_at else {
        return;
    };
    let fleet = &state.settings.fleet;
    let late_by = now.saturating_duration_since(last_tick_at + fleet.tick);
    if late_by < fleet.pause_threshold {
        return;
    }
    state.last_tick_at = Some(now);
    platform::on_pause(state, now, late_by);
    quota::on_pause(state, now);
    out.push(Effect::Count {
        counter: Counter::Pauses,
        amount_count: 1,
    });
    let late_ms = u64::try_from(late_by.as_millis()).unwrap_or(u64::MAX);
    out.push(Effect::Log(
        LogLine::new(Level::Warn, "process-paused").with("late_ms", late_ms),
    ));
}
