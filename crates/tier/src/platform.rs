//! Answers of the platform, and the application of an accepted configuration.

use std::time::{Duration, Instant};

use model::{Effect, PlatformRead};

use crate::State;

/// Handles a published note, which is a configuration document, and applies it if it is accepted.
pub(crate) fn on_published_note(
    state: &mut State,
    now: Instant,
    version: u64,
    body: &[u8],
    out: &mut Vec<Effect>,
) {
    let fleet = &mut state.fleet;
    let accepted = fleet::on_published_note(fleet, &state.settings, now, version, body, out);
    if accepted.is_some() {
        apply_configuration(state, now, out);
    }
}

/// Handles the published list of instances.
pub(crate) fn on_instance_list(
    state: &mut State,
    now: Instant,
    body: &[u8],
    out: &mut Vec<Effect>,
) {
    fleet::on_instance_list(&mut state.fleet, &state.settings, now, body, out);
    update_connection_shares(state, out);
}

/// Handles a failed read of the platform.
pub(crate) fn on_read_failure(
    state: &mut State,
    now: Instant,
    read: PlatformRead,
    out: &mut Vec<Effect>,
) {
    fleet::on_read_failure(&mut state.fleet, &state.settings, now, read, out);
}

/// Applies the accepted configuration to the routes.
///
/// The connection shares are updated first: an instance that has just learned of the others must
/// not claim connections that they hold.
pub(crate) fn apply_configuration(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    update_connection_shares(state, out);
    let Some(note) = &state.fleet.note else {
        return;
    };
    route::apply(&mut state.routes, note, out);
    confine_to_allowed_zones(state, now);
}

/// Updates this instance's share of each target's connections, which are divided among all
/// instances that may hold some.
pub(crate) fn update_connection_shares(state: &mut State, out: &mut Vec<Effect>) {
    let instances_count = fleet::connection_holders_count(&state.fleet);
    let connection_holder_rank = fleet::connection_holder_rank(&state.fleet);
    route::set_instances(
        &mut state.routes,
        instances_count,
        connection_holder_rank,
        out,
    );
}

/// Confines new work to the zones that may receive some while the configuration is stale, or lifts
/// the confinement.
pub(crate) fn confine_to_allowed_zones(state: &mut State, now: Instant) {
    let zones = fleet::zones_allowed_when_stale(&state.fleet, &state.settings.fleet, now);
    route::confine(&mut state.routes, zones.as_ref());
}

/// Invalidates what was learned before a pause of the process.
pub(crate) fn on_pause(state: &mut State, now: Instant, late_by: Duration) {
    fleet::on_pause(&mut state.fleet, &state.settings, now, late_by);
    route::on_pause(&mut state.routes, now);
    if let Some(gateway) = &mut state.gateway {
        gateway::on_pause(gateway, now);
    }
    confine_to_allowed_zones(state, now);
}
