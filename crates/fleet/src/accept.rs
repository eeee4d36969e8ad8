//! Validation and acceptance of a published configuration.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use findings::Findings;
use model::{Counter, Effect, Level, LogLine, Message, Revision};
use note::Note;
use settings::Settings;

use crate::{FleetState, freshness, gossip, join, platform_reads};

/// Handles a configuration that the platform returned; returns the note if it was accepted.
pub fn on_published_note<'a>(
    fleet: &'a mut FleetState,
    settings: &Settings,
    now: Instant,
    version: u64,
    body: &[u8],
    out: &mut Vec<Effect>,
) -> Option<&'a Note> {
    let is_older_version = version < fleet.platform_version;
    let is_current = platform_reads::record_note_read(fleet, settings, now, version, out);
    if body == fleet.note_body && !body.is_empty() {
        freshness::record_platform_confirmation(fleet, now, is_current);
        fleet.rejected = Findings::default();
        join::try_complete(fleet, &settings.fleet, now, out);
        return None;
    }
    let mut findings = Findings::default();
    let note = parse_note(body, &mut findings);
    let revision = note.as_ref().map_or(0, |note| note.revision);
    if revision > 0 && revision < fleet.revision() {
        // The platform lags behind the fleet, so this read does not confirm the accepted revision.
        let line = LogLine::new(Level::Info, "platform-behind").with("revision", revision);
        out.push(Effect::Log(line));
        return None;
    }
    if let (Some(previous), Some(note)) = (&fleet.note, &note) {
        check_successor(previous, note, &mut findings);
    }
    // If this configuration is rejected below, the accepted one remains the newest valid one.
    freshness::record_platform_confirmation(fleet, now, is_current && !is_older_version);
    if !findings.is_empty() {
        reject(fleet, body, findings, out);
        join::try_complete(fleet, &settings.fleet, now, out);
        return None;
    }
    accept(fleet, note?, body, out);
    gossip::push_revision(fleet, settings, now, out);
    join::try_complete(fleet, &settings.fleet, now, out);
    fleet.note.as_ref()
}

/// Handles a configuration that another instance has accepted; returns the note if it is newer.
///
/// The paths that the note lists as its difference are not compared with the accepted note. The
/// sender may have accepted the note after skipping revisions, and instances that disagreed about
/// the check would never converge.
pub fn on_peer_note<'a>(
    fleet: &'a mut FleetState,
    settings: &Settings,
    now: Instant,
    body: &Bytes,
    out: &mut Vec<Effect>,
) -> Option<&'a Note> {
    fleet.note_request = None;
    let mut findings = Findings::default();
    let note = parse_note(body, &mut findings);
    if !findings.is_empty() {
        reject(fleet, body, findings, out);
        return None;
    }
    let note = note.filter(|note| note.revision > fleet.revision())?;
    accept(fleet, note, body, out);
    gossip::push_revision(fleet, settings, now, out);
    join::try_complete(fleet, &settings.fleet, now, out);
    fleet.note.as_ref()
}

/// Sends the accepted configuration to a peer that requested a minimum revision.
///
/// Sends nothing if the accepted revision is lower.
pub fn on_note_request(
    fleet: &FleetState,
    reply_to: SocketAddr,
    at_least_revision: Revision,
    out: &mut Vec<Effect>,
) {
    let revision = fleet.revision();
    if revision == 0 || revision < at_least_revision {
        return;
    }
    let message = Message::Note {
        revision,
        body: fleet.note_body.clone(),
    };
    out.push(Effect::Send {
        address: reply_to,
        message,
    });
}

fn accept(fleet: &mut FleetState, note: Note, body: &[u8], out: &mut Vec<Effect>) {
    fleet.note_body = Bytes::copy_from_slice(body);
    fleet.rejected = Findings::default();
    let line = LogLine::new(Level::Info, "note-accepted").with("revision", note.revision);
    out.push(Effect::Log(line));
    fleet.note = Some(note);
}

/// Checks a note against the accepted one that it would replace.
fn check_successor(previous: &Note, note: &Note, findings: &mut Findings) {
    if note.revision == previous.revision {
        findings.add(
            "$.revision",
            format!(
                "revision {} was already published with different content; publish a higher one",
                note.revision
            ),
        );
        return;
    }
    note::check_difference(previous, note, findings);
}

fn parse_note(body: &[u8], findings: &mut Findings) -> Option<Note> {
    let Ok(document) = std::str::from_utf8(body) else {
        findings.add("$", "document is not valid UTF-8");
        return None;
    };
    note::read(document, findings)
}

fn reject(fleet: &mut FleetState, body: &[u8], mut findings: Findings, out: &mut Vec<Effect>) {
    if let Ok(document) = std::str::from_utf8(body) {
        findings::locate(document, &mut findings);
    }
    if fleet.rejected == findings {
        return;
    }
    out.push(Effect::Count {
        counter: Counter::RejectedNotes,
        amount_count: 1,
    });
    for finding in &findings.list {
        let line = LogLine::new(Level::Warn, "note-rejected")
            .with("place", finding.path.as_str())
            .with("message", finding.message.as_str());
        out.push(Effect::Log(line));
    }
    fleet.rejected = findings;
}
