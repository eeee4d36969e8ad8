//! Reading the published configuration and accepting it.

use std::time::Duration;

use bytes::Bytes;
use findings::Findings;
use model::{Counter, Effect, Level, LogLine, PlatformRead, Timer};
use note::Note;

use crate::FleetState;

/// Delay before the platform is read again after a failure.
const PLATFORM_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Starts to read the platform.
pub fn started(fleet: &FleetState, out: &mut Vec<Effect>) {
    watch(fleet, out);
}

/// Takes in a published value; returns the note if it was accepted.
pub fn note_published<'a>(
    fleet: &'a mut FleetState,
    version: u64,
    body: &[u8],
    out: &mut Vec<Effect>,
) -> Option<&'a Note> {
    fleet.platform_version = version;
    watch(fleet, out);
    let mut findings = Findings::default();
    let note = read_note(body, &mut findings);
    if !findings.is_empty() {
        reject(fleet, findings, out);
        return None;
    }
    let accepted_revision = fleet.note.as_ref().map_or(0, |note| note.revision);
    let note = note.filter(|note| note.revision > accepted_revision)?;
    fleet.note_body = Bytes::copy_from_slice(body);
    fleet.rejected = Findings::default();
    let line = LogLine::new(Level::Info, "note-accepted").with("revision", note.revision);
    out.push(Effect::Log(line));
    Some(fleet.note.insert(note))
}

/// Notes that a read of the platform failed and schedules the next one.
pub fn platform_failed(out: &mut Vec<Effect>) {
    out.push(Effect::SetTimer {
        timer: Timer::Platform,
        after: PLATFORM_RETRY_DELAY,
    });
}

fn watch(fleet: &FleetState, out: &mut Vec<Effect>) {
    let read = PlatformRead::WatchNote {
        after_version: fleet.platform_version,
    };
    out.push(Effect::ReadPlatform(read));
    out.push(Effect::Count {
        counter: Counter::PlatformReads,
        amount_count: 1,
    });
}

fn read_note(body: &[u8], findings: &mut Findings) -> Option<Note> {
    let Ok(document) = std::str::from_utf8(body) else {
        findings.add("$", "not UTF-8 text");
        return None;
    };
    note::read(document, findings)
}

fn reject(fleet: &mut FleetState, findings: Findings, out: &mut Vec<Effect>) {
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
