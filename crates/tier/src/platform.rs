//! Answers of the platform, and what an accepted configuration changes.

use std::time::{Duration, Instant};

use model::{Effect, PlatformRead};

use crate::State;

/// Takes in a published value and puts it in force if it is accepted.
pub(crate) fn note(
    state: &mut State,
    now: Instant,
    version: u64,
    body: &[u8],
    out: &mut Vec<Effect>,
) {
    let fleet = &mut state.fleet;
    let accepted = fleet::note_published(fleet, &state.settings, now, version, body, out);
    if accepted.is_some() {
        put_in_force(state, now, out);
    }
}

/// Takes in the list of instances.
pub(crate) fn instances(state: &mut State, now: Instant, body: &[u8], out: &mut Vec<Effect>) {
    fleet::instances_published(&mut state.fleet, &state.settings, now, body, out);
    divide(state, out);
}

/// Takes in the failure of a read.
pub(crate) fn failed(state: &mut State, now: Instant, read: PlatformRead, out: &mut Vec<Effect>) {
    fleet::platform_failed(&mut state.fleet, &state.settings, now, read, out);
}

/// Brings the routes into line with the accepted configuration.
///
/// The division comes first: an instance that has just heard of the others must not take for itself
/// what they hold.
pub(crate) fn put_in_force(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    divide(state, out);
    let Some(note) = &state.fleet.note else {
        return;
    };
    route::apply(&mut state.routes, note, out);
    confine(state, now);
}

/// Divides the targets' connections among the instances that may hold some.
pub(crate) fn divide(state: &mut State, out: &mut Vec<Effect>) {
    let instances_count = fleet::may_hold_count(&state.fleet);
    let own_rank = fleet::own_rank(&state.fleet);
    route::set_instances(&mut state.routes, instances_count, own_rank, out);
}

/// Confines new work to the zones that may still receive some if the freshness has lapsed.
pub(crate) fn confine(state: &mut State, now: Instant) {
    let zones = fleet::lapsed_zones(&state.fleet, &state.settings.fleet, now);
    route::confine(&mut state.routes, zones.as_ref());
}

/// Distrusts what was learned before a pause of the process.
pub(crate) fn paused(state: &mut State, now: Instant, late_by: Duration) {
    fleet::paused(&mut state.fleet, &state.settings, now, late_by);
    route::paused(&mut state.routes, now);
    if let Some(gateway) = &mut state.gateway {
        gateway::paused(gateway, now);
    }
    confine(state, now);
}
