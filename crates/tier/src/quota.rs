//! Usage caps: what the membership and the configuration say about them, and their messages.

use std::{net::SocketAddr, time::Instant};

use ::quota::{Candidate, Change, FleetView};
use model::{Effect, Level, LogLine, Message};

use crate::{State, completion, gateway::has_other_seeds};

/// Sets the caps of the configuration in force.
pub(crate) fn on_configuration(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    update_view(state, now);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let organisations = &gateway.catalog.organisations;
    let caps_count = organisation::caps(organisations).count() as u64;
    let old_count = ::quota::organisations(&gateway.quota).count() as u64;
    let mut outputs = Vec::new();
    let caps = organisation::caps(organisations);
    ::quota::set_caps(&mut gateway.quota, now, caps, &mut outputs);
    if caps_count + old_count > 0 {
        let line = LogLine::new(Level::Info, "usage-caps-in-force")
            .with("version", gateway.catalog.version)
            .with("organisations_count", caps_count);
        out.push(Effect::Log(line));
    }
    ::gateway::process_permits(gateway, now, outputs, out);
}

/// Updates the issuers from the membership, returns unused permits and asks for others ahead of
/// need. Costs nothing while no organisation has a cap.
pub(crate) fn tick(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    let is_used = state
        .gateway
        .as_ref()
        .is_some_and(|gateway| ::quota::is_used(&gateway.quota) || !gateway.held.is_empty());
    if !is_used {
        return;
    }
    update_view(state, now);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let mut outputs = Vec::new();
    let elapsed = state.settings.fleet.tick;
    ::quota::tick(&mut gateway.quota, now, elapsed, &mut outputs);
    for (organisation, change) in ::quota::changes(&mut gateway.quota, now) {
        out.push(Effect::Log(change_log_line(&organisation, change)));
    }
    ::gateway::process_permits(gateway, now, outputs, out);
}

fn change_log_line(organisation: &str, change: Change) -> LogLine {
    let event = match change {
        Change::IssuingStarted => "permit-issuing-started",
        Change::IssuingStopped => "permit-issuing-stopped",
        Change::RefusingStarted => "cap-refusals-started",
        Change::RefusingEnded { .. } => "cap-refusals-ended",
    };
    let line = LogLine::new(Level::Info, event).with("organisation", organisation);
    match change {
        Change::RefusingEnded { refused_count } => line.with("refused_count", refused_count),
        _ => line,
    }
}

/// Tells the caps which instances may issue permits.
pub(crate) fn update_view(state: &mut State, now: Instant) {
    let is_alone = !has_other_seeds(&state.settings);
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let fleet = &state.fleet;
    let members = fleet::permit_members(fleet, now).map(|row| Candidate {
        name: &row.id.name,
        zone: &row.zone,
        address: row.address,
        capacity_millicores: row.capacity_millicores,
    });
    let own = Candidate {
        name: &fleet.id.name,
        zone: &fleet.zone,
        address: fleet.address,
        capacity_millicores: fleet.capacity_millicores,
    };
    let own = (!fleet.is_leaving).then_some(own);
    let candidates: Vec<Candidate<'_>> = members.chain(own).collect();
    // Alone, an instance is the issuer of the whole cap, whatever zones the deployment may have.
    let zones: Vec<String> = if is_alone {
        vec![fleet.zone.clone()]
    } else if state.settings.fleet.zones.is_empty() {
        let zones = fleet::known_zones(fleet).into_iter();
        zones.map(str::to_owned).collect()
    } else {
        state.settings.fleet.zones.clone()
    };
    let view = FleetView {
        own_name: &fleet.id.name,
        own_zone: &fleet.zone,
        zones: &zones,
        started_at: state.started_at.unwrap_or(now),
        is_alone,
        has_heard: fleet::has_heard_another(fleet),
        candidates: &candidates,
    };
    ::quota::set_view(&mut gateway.quota, now, &view);
}

/// Stops issuing at once when the instance starts to leave.
pub(crate) fn on_leaving(state: &mut State, now: Instant) {
    update_view(state, now);
}

/// Handles an instance that cannot be reached.
pub(crate) fn on_unreachable(
    state: &mut State,
    now: Instant,
    address: SocketAddr,
    out: &mut Vec<Effect>,
) {
    if let Some(gateway) = &mut state.gateway {
        let mut outputs = Vec::new();
        ::quota::on_unreachable(&mut gateway.quota, now, address, &mut outputs);
        ::gateway::process_permits(gateway, now, outputs, out);
    }
}

/// Handles a message about permits.
pub(crate) fn on_message(
    state: &mut State,
    now: Instant,
    message: &Message,
    out: &mut Vec<Effect>,
) {
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let quota = &mut gateway.quota;
    let mut outputs = Vec::new();
    match message {
        Message::PermitsWanted {
            reply_to,
            questions,
        } => {
            for question in questions {
                ::quota::on_question(quota, now, *reply_to, question, &mut outputs);
            }
        }
        Message::PermitsGranted {
            answered_by,
            answers,
        } => {
            for answer in answers {
                if !::quota::on_answer(quota, now, *answered_by, answer, &mut outputs) {
                    completion::count_stale_reply(out);
                }
            }
        }
        Message::PermitsReturned {
            returned_by,
            returns,
        } => {
            for permits in returns {
                ::quota::on_return(quota, now, *returned_by, permits);
            }
        }
        _ => {}
    }
    ::gateway::process_permits(gateway, now, outputs, out);
}

/// Records that the process has resumed from a pause.
pub(crate) fn on_pause(state: &mut State, now: Instant) {
    if let Some(gateway) = &mut state.gateway {
        ::quota::on_pause(&mut gateway.quota, now);
    }
}
