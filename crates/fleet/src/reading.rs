//! Reads of the platform: who reads, when, and how often.

use std::time::{Duration, Instant};

use model::{Counter, Effect, MemberState, PlatformRead, Timer};
use rand::RngExt;
use settings::Settings;
use xxhash_rust::xxh3::xxh3_64;

use crate::{FleetState, Join, Voucher, join};

/// Shortest time between the starts of two reads of the configuration.
const NOTE_GAP: Duration = Duration::from_millis(500);
/// Time between two reads of the list of instances.
const LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Longest delay after the first failure; doubled by every further one.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// Longest delay after any number of failures.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(8);
/// Time beyond the longest wait after which a read in flight counts as lost.
const READ_LOST_AFTER: Duration = Duration::from_secs(10);
/// Time for which an instance that is not a reader goes on reading after it succeeded.
const VOLUNTEER_TERM: Duration = Duration::from_secs(60);
/// Reads of one reader in any second, both kinds together.
pub const READS_PER_READER_MAX_PER_S: u32 = 4;

/// Starts to catch up with the fleet: the list first, because it tells whether to read the rest.
pub fn started(fleet: &mut FleetState, settings: &Settings, now: Instant, out: &mut Vec<Effect>) {
    fleet.join_since = Some(now);
    platform_due(fleet, settings, now, out);
}

/// Tells whether this instance is one of its zone's readers.
///
/// The instances with the smallest hashes read, so every instance with the same members chooses the
/// same readers, and the next one takes over when one goes.
pub fn is_reader(fleet: &FleetState, readers_per_zone_count: u32) -> bool {
    if fleet.is_leaving {
        return false;
    }
    readers_before(fleet) < readers_per_zone_count as usize
}

/// Counts the instances of the zone whose hash is smaller than this instance's.
fn readers_before(fleet: &FleetState) -> usize {
    let weight = |name: &str| (xxh3_64(name.as_bytes()), name.to_owned());
    let own = weight(&fleet.id.name);
    let others = fleet
        .members
        .values()
        .filter(|member| member.row.state == MemberState::Alive && member.row.zone == fleet.zone);
    let before = others.filter(|member| weight(&member.row.id.name) < own);
    before.count()
}

/// Starts the reads that are due.
pub fn platform_due(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    fleet.reading.is_reader = is_reader(fleet, settings.fleet.readers_per_zone_count);
    forget_lost(fleet, settings, now);
    let knows_nobody = fleet.members.is_empty();
    if (fleet.reading.is_reader || knows_nobody) && is_list_due(fleet, now) {
        fleet.reading.list_in_flight = Some(now);
        fleet.reading.list_reads_count += 1;
        read(PlatformRead::Instances, out);
    }
    // Until the list was read, every instance would take itself for a reader.
    let is_list_known = fleet.reading.list_due.is_some();
    if is_list_known && wants_note(fleet, now) && is_note_due(fleet, now) {
        fleet.reading.note_in_flight = Some(now);
        fleet.reading.note_reads_count += 1;
        let after_version = if fleet.vouched_at.is_none() {
            0
        } else {
            fleet.platform_version
        };
        read(PlatformRead::WatchNote { after_version }, out);
    }
}

/// Lets an instance that is no reader try the platform when the freshness runs out.
///
/// The instances of a zone take turns, as many each second as the zone has readers, so the attempts
/// of a zone stay constant and all have tried after a time that grows with the zone.
pub(crate) fn volunteer(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    let limit = settings.fleet.freshness_limit / 2;
    let Some(known_at) = fleet.vouched_at.max(fleet.join_since) else {
        return;
    };
    let waited = now.saturating_duration_since(known_at);
    if fleet.reading.is_reader || fleet.is_leaving || waited <= limit {
        return;
    }
    let members = fleet.members.values();
    let in_zone = members.filter(|member| member.is_present() && member.row.zone == fleet.zone);
    let zone_count = in_zone.count() + 1;
    let rate_per_s = f64::from(settings.fleet.readers_per_zone_count);
    let place_s = readers_before(fleet) as f64 / rate_per_s;
    let period_s = zone_count as f64 / rate_per_s;
    let turns = |at: Duration| ((at.as_secs_f64() - place_s) / period_s).floor();
    let waited = waited - limit;
    let is_turn = turns(waited) > turns(waited.saturating_sub(settings.fleet.tick));
    if is_turn {
        fleet.reading.volunteer_until = Some(now + NOTE_GAP);
        platform_due(fleet, settings, now, out);
    }
}

/// Notes that the configuration was read; returns whether the answer can be trusted to be current.
pub(crate) fn note_read(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    version: u64,
    out: &mut Vec<Effect>,
) -> bool {
    let reading = &mut fleet.reading;
    reading.is_answered = true;
    if reading.distrusted_count > 0 {
        reading.distrusted_count -= 1;
        return false;
    }
    fleet.platform_version = version;
    reading.failures_count = 0;
    let started_at = reading.note_in_flight.take().unwrap_or(now);
    let due = now.max(started_at + NOTE_GAP);
    if reading.volunteer_until.is_some() && keeps_volunteering(fleet.voucher, reading, now) {
        reading.volunteer_until = Some(now + VOLUNTEER_TERM);
    }
    schedule(fleet, settings, now, due, out);
    true
}

/// Notes that the list of instances was read.
pub(crate) fn list_read(fleet: &mut FleetState, now: Instant) {
    let jitter_ratio = fleet.rng.random_range(0.8..1.2);
    let reading = &mut fleet.reading;
    reading.list_in_flight = None;
    reading.list_failures_count = 0;
    reading.list_due = Some(now + LIST_INTERVAL.mul_f64(jitter_ratio));
}

/// Notes that a read of the platform failed and schedules the next one.
pub fn platform_failed(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    failed: PlatformRead,
    out: &mut Vec<Effect>,
) {
    let jitter_ratio = fleet.rng.random_range(0.5..1.0);
    let reading = &mut fleet.reading;
    if failed == PlatformRead::Instances {
        reading.list_in_flight = None;
        reading.list_due = Some(now + retry_delay(reading.list_failures_count, jitter_ratio));
        reading.list_failures_count += 1;
        platform_due(fleet, settings, now, out);
        join::check(fleet, &settings.fleet, now, out);
        return;
    }
    reading.is_answered = true;
    if reading.distrusted_count > 0 {
        reading.distrusted_count -= 1;
        return;
    }
    let due = now + retry_delay(reading.failures_count, jitter_ratio);
    reading.failures_count += 1;
    reading.note_in_flight = None;
    reading.volunteer_until = None;
    schedule(fleet, settings, now, due, out);
    join::check(fleet, &settings.fleet, now, out);
}

/// Distrusts the read in flight, which may have been answered before a pause, and reads again.
pub(crate) fn distrust_in_flight(fleet: &mut FleetState) {
    let reading = &mut fleet.reading;
    if reading.note_in_flight.take().is_some() {
        reading.distrusted_count += 1;
    }
    reading.note_due = None;
}

fn schedule(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    due: Instant,
    out: &mut Vec<Effect>,
) {
    fleet.reading.note_due = Some(due);
    if !wants_note(fleet, now) {
        return;
    }
    let after = due.saturating_duration_since(now);
    if after.is_zero() {
        platform_due(fleet, settings, now, out);
        return;
    }
    out.push(Effect::SetTimer {
        timer: Timer::Platform,
        after,
    });
}

fn wants_note(fleet: &FleetState, now: Instant) -> bool {
    let reading = &fleet.reading;
    reading.is_reader || reading.volunteer_until.is_some_and(|until| now < until)
}

fn keeps_volunteering(voucher: Voucher, reading: &crate::Reading, now: Instant) -> bool {
    let is_term_over = reading.volunteer_until.is_none_or(|until| now >= until);
    !is_term_over || voucher != Voucher::Peer
}

fn is_list_due(fleet: &FleetState, now: Instant) -> bool {
    let reading = &fleet.reading;
    reading.list_in_flight.is_none() && reading.list_due.is_none_or(|due| now >= due)
}

fn is_note_due(fleet: &FleetState, now: Instant) -> bool {
    let reading = &fleet.reading;
    reading.note_in_flight.is_none() && reading.note_due.is_none_or(|due| now >= due)
}

fn forget_lost(fleet: &mut FleetState, settings: &Settings, now: Instant) {
    let lost_after = settings.platform.watch_timeout + READ_LOST_AFTER;
    let is_lost = |started_at: &Instant| now.saturating_duration_since(*started_at) > lost_after;
    let reading = &mut fleet.reading;
    reading.note_in_flight = reading.note_in_flight.filter(|at| !is_lost(at));
    reading.list_in_flight = reading.list_in_flight.filter(|at| !is_lost(at));
}

fn retry_delay(failures_count: u32, jitter_ratio: f64) -> Duration {
    let doubled = RETRY_DELAY.saturating_mul(1 << failures_count.min(8));
    doubled.min(RETRY_DELAY_MAX).mul_f64(jitter_ratio)
}

fn read(read: PlatformRead, out: &mut Vec<Effect>) {
    out.push(Effect::ReadPlatform(read));
    out.push(Effect::Count {
        counter: Counter::PlatformReads,
        amount_count: 1,
    });
}

/// Tells whether this instance's own reads have told it what the platform holds.
pub(crate) fn has_asked_platform(fleet: &FleetState) -> bool {
    let reading = &fleet.reading;
    let is_list_answered = reading.list_in_flight.is_none();
    let is_note_answered = reading.is_answered || !reading.is_reader;
    fleet.join == Join::Waiting && is_list_answered && is_note_answered
}
