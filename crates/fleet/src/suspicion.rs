//! Failure detection: suspicion of members that do not respond to probes.

use std::{net::SocketAddr, time::Instant};

use model::{Effect, Level, LogLine, MemberState};

use crate::{FleetState, Member, Probe, digest::Recipient, member};

/// Number of probes, the first included, that a member may leave unanswered before it is suspected.
const PROBES_PER_SUSPICION: u32 = 4;

/// Suspects the member whose address refuses connections, without waiting for a timeout.
///
/// Also forgets an unanswered request for the configuration, so that the next digest with a newer
/// revision causes a new request at once.
pub fn on_peer_unreachable(
    fleet: &mut FleetState,
    now: Instant,
    address: SocketAddr,
    out: &mut Vec<Effect>,
) {
    fleet.note_request = None;
    let found = fleet
        .members
        .values_mut()
        .find(|m| m.row.address == address);
    let Some(found) = found else { return };
    suspect(found, now, out);
}

/// Suspects members that sent nothing since the first of a series of unanswered probes, once the
/// reply is overdue, and marks members suspected for too long as gone.
pub(crate) fn process_timeouts(
    fleet: &mut FleetState,
    settings: &settings::Fleet,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    let is_overdue = |probe: &Probe| {
        now.saturating_duration_since(probe.first_sent_at) >= settings.suspect_after
    };
    let overdue = pending::values(&fleet.probes).filter(|probe| is_overdue(probe));
    let overdue: Vec<Probe> = overdue.cloned().collect();
    pending::retain(&mut fleet.probes, |probe| !is_overdue(probe));
    for probe in overdue {
        let Some(member) = fleet.members.get_mut(&probe.name) else {
            continue;
        };
        if !is_heard_since(member, probe.first_sent_at) {
            suspect(member, now, out);
        }
    }
    for member in fleet.members.values_mut() {
        let suspected_for = now.saturating_duration_since(member.since);
        if member.row.state == MemberState::Suspected && suspected_for >= settings.gone_after {
            member::set_state(member, now, MemberState::Gone);
            out.push(Effect::Log(
                LogLine::new(Level::Info, "member-gone").with("instance", &*member.row.id.name),
            ));
        }
    }
}

/// Selects the members to probe again, so that a single lost message never causes suspicion.
///
/// This includes members that send messages but do not reply to probes: their messages do not show
/// whether messages to them arrive.
pub(crate) fn select_probe_retries(
    fleet: &mut FleetState,
    settings: &settings::Fleet,
    now: Instant,
) -> Vec<Recipient> {
    let retry_after = settings.suspect_after / PROBES_PER_SUSPICION;
    let mut retries = Vec::new();
    for probe in pending::values_mut(&mut fleet.probes) {
        let is_due = now.saturating_duration_since(probe.sent_at) >= retry_after;
        if !is_due || probe.is_retried {
            continue;
        }
        let Some(member) = fleet.members.get(&probe.name) else {
            continue;
        };
        if !member.is_present() {
            continue;
        }
        probe.is_retried = true;
        retries.push(Recipient {
            name: probe.name.clone(),
            address: member.row.address,
            wants_reply: true,
            first_sent_at: Some(probe.first_sent_at),
        });
    }
    retries
}

/// Probes an instance with the next tick, because it has not answered a request in time: it may only
/// be busy, but the connection to it or the one from it may also be dead.
pub fn request_probe(fleet: &mut FleetState, address: SocketAddr) {
    fleet.requested_probes.insert(address);
}

/// Selects the members to probe by request, except those whose reply is awaited already.
pub(crate) fn select_requested_probes(fleet: &mut FleetState) -> Vec<Recipient> {
    let requested = std::mem::take(&mut fleet.requested_probes);
    let members = fleet.members.values();
    let members = members.filter(|member| {
        let name = &member.row.id.name;
        let mut awaited = pending::values(&fleet.probes);
        requested.contains(&member.row.address)
            && member.is_present()
            && !awaited.any(|probe| probe.name == *name)
    });
    let recipients = members.map(|member| Recipient {
        name: member.row.id.name.clone(),
        address: member.row.address,
        wants_reply: true,
        first_sent_at: None,
    });
    recipients.collect()
}

fn is_heard_since(member: &Member, since: Instant) -> bool {
    member.heard_at.is_some_and(|heard_at| heard_at > since)
}

fn suspect(member: &mut Member, now: Instant, out: &mut Vec<Effect>) {
    let state = member.row.state;
    if matches!(state, MemberState::Suspected | MemberState::Gone) {
        return;
    }
    member::set_state(member, now, MemberState::Suspected);
    out.push(Effect::Log(
        LogLine::new(Level::Info, "member-suspected").with("instance", &*member.row.id.name),
    ));
}
