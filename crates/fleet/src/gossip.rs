//! Gossip: sending and handling digests.

use std::time::Instant;

use model::{Counter, Digest, Effect, Message, Observations, Revision};
use settings::Settings;

use crate::{
    FleetState, digest, digest::Recipient, freshness, join, member, platform_reads, readers,
    suspicion,
};

/// Ticks after which an unanswered request for the configuration may be sent to another instance.
const NOTE_RETRY_TICKS: u32 = 1;

/// Runs the periodic work: suspicion timeouts, digests, platform reads, joining and freshness.
pub fn tick(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    observations: &Observations,
    out: &mut Vec<Effect>,
) {
    fleet.ticks_count += 1;
    suspicion::process_timeouts(fleet, &settings.fleet, now, out);
    member::prune_gone(fleet, now);
    let mut recipients = digest::select_recipients(fleet, &settings.fleet, now);
    let retries = suspicion::select_probe_retries(fleet, &settings.fleet, now);
    // The connection may be dead without having been closed, so a retry uses a new one.
    out.extend(retries.iter().map(|recipient| Effect::Reconnect {
        address: recipient.address,
    }));
    recipients.extend(retries);
    recipients.extend(suspicion::select_requested_probes(fleet));
    recipients.extend(digest::select_seed(fleet, settings));
    for recipient in recipients {
        let digest = digest::build_outgoing(fleet, now, &recipient, observations);
        send(recipient.address, Message::Digest(digest), out);
    }
    platform_reads::start_due_reads(fleet, settings, now, out);
    readers::try_fallback_read(fleet, settings, now, out);
    join::try_complete(fleet, &settings.fleet, now, out);
    let age = freshness::freshness_age(fleet, now);
    fleet.is_stale = age > settings.fleet.freshness_limit;
    fleet.freshness_age_ms = fleet
        .fresh_as_of
        .map(|_| u64::try_from(age.as_millis()).unwrap_or(u64::MAX));
}

/// Sends a digest with urgent observations to all present members.
pub fn broadcast_observations(
    fleet: &mut FleetState,
    now: Instant,
    observations: &Observations,
    out: &mut Vec<Effect>,
) {
    let present = fleet.members.values().filter(|member| member.is_present());
    let recipients = present.map(|member| Recipient {
        name: member.row.id.name.clone(),
        address: member.row.address,
        wants_reply: false,
        first_sent_at: None,
    });
    let recipients: Vec<Recipient> = recipients.collect();
    for recipient in recipients {
        let digest = digest::build_outgoing(fleet, now, &recipient, observations);
        send(recipient.address, Message::Digest(digest), out);
    }
}

/// Sends a newly accepted revision to a few members without waiting for the next tick.
pub(crate) fn push_revision(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    for mut recipient in digest::select_recipients(fleet, &settings.fleet, now) {
        recipient.wants_reply = false;
        let digest = digest::build_outgoing(fleet, now, &recipient, &Observations::default());
        send(recipient.address, Message::Digest(digest), out);
    }
}

/// Handles a digest of another instance: merges its rows, requests a newer configuration, replies.
pub fn on_digest(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    digest: &Digest,
    observations: &Observations,
    out: &mut Vec<Effect>,
) {
    if digest.from.id.name == fleet.id.name {
        return;
    }
    member::merge_row(fleet, now, &digest.from);
    for row in &digest.members {
        member::merge_row(fleet, now, row);
    }
    record_contact(fleet, now, digest);
    fleet.heard_version_in_force = fleet.heard_version_in_force.max(digest.version_in_force);
    if digest.revision >= fleet.heard_revision {
        fleet.heard_revision = digest.revision;
        fleet.heard_revision_at = Some(now);
    }
    if digest.revision > fleet.revision() {
        request_note(fleet, settings, now, digest, out);
    }
    if digest.is_repeated {
        out.push(Effect::Reconnect {
            address: digest.from.address,
        });
    }
    // A sender with an older revision gets a reply even if it did not request one.
    if digest.wants_reply || digest.revision < fleet.revision() {
        let reply = digest::build_reply(fleet, now, digest, observations);
        send(digest.from.address, Message::Digest(reply), out);
    }
    join::try_complete(fleet, &settings.fleet, now, out);
}

/// Records the contact with a digest's sender and, if the digest replies to a probe, the reply and
/// the freshness that it confirms.
fn record_contact(fleet: &mut FleetState, now: Instant, digest: &Digest) {
    let Some(member) = fleet.members.get_mut(&digest.from.id.name) else {
        return;
    };
    if member.row.id.incarnation != digest.from.id.incarnation {
        return;
    }
    member.heard_at = Some(now);
    let is_reply = !digest.wants_reply && digest.sequence != 0;
    let probe = pending::accept(&fleet.probes, Some(digest.from.address), digest.sequence);
    let Some(probe) = probe.filter(|probe| is_reply && probe.name == digest.from.id.name) else {
        return;
    };
    let sent_at = probe.sent_at;
    pending::remove(&mut fleet.probes, digest.sequence);
    member.confirmed_at = member.confirmed_at.max(Some(sent_at));
    if digest.revision != fleet.revision() {
        return;
    }
    if let Some(fresh_as_of) = sent_at.checked_sub(digest.freshness_age) {
        freshness::record_peer_confirmation(fleet, fresh_as_of);
    }
}

/// Requests the newer configuration from the sender of a digest, unless a request for that revision
/// or a higher one was sent recently.
fn request_note(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    digest: &Digest,
    out: &mut Vec<Effect>,
) {
    let retry_after = settings.fleet.tick * NOTE_RETRY_TICKS;
    let is_requested = |(revision, at): (Revision, Instant)| {
        revision >= digest.revision && now.saturating_duration_since(at) < retry_after
    };
    if fleet.note_request.is_some_and(is_requested) {
        return;
    }
    fleet.note_request = Some((digest.revision, now));
    let message = Message::NoteWanted {
        reply_to: fleet.address,
        at_least_revision: digest.revision,
    };
    send(digest.from.address, message, out);
}

fn send(address: std::net::SocketAddr, message: Message, out: &mut Vec<Effect>) {
    out.push(Effect::Send { address, message });
    out.push(Effect::Count {
        counter: Counter::PeerMessages,
        amount_count: 1,
    });
}
