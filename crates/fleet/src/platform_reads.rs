//! Reads of the platform: when, and how often.

use std::time::{Duration, Instant};

use model::{Counter, Effect, PlatformRead, Timer};
use rand::RngExt;
use settings::Settings;

use crate::{FleetState, FreshnessSource, Join, join, readers::is_reader};

/// Shortest time between the starts of two reads of the configuration.
const NOTE_READ_MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of the list of instances.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Longest delay after the first failure; doubled by every further one.
const RETRY_INITIAL_DELAY: Duration = Duration::from_secs(1);
/// Longest delay after any number of failures.
const RETRY_MAX_DELAY: Duration = Duration::from_secs(8);
/// Time beyond the longest wait after which a read in flight counts as lost.
const LOST_READ_MARGIN: Duration = Duration::from_secs(10);
/// Time for which an instance that is not a reader goes on reading after it succeeded.
const FALLBACK_DURATION: Duration = Duration::from_secs(60);
/// Reads of one reader in any second, both kinds together.
pub const READS_PER_READER_MAX_PER_S: u32 = 4;

/// Starts to catch up with the fleet: the list first, because it tells whether to read the rest.
pub fn started(fleet: &mut FleetState, settings: &Settings, now: Instant, out: &mut Vec<Effect>) {
    fleet.join_started_at = Some(now);
    platform_due(fleet, settings, now, out);
}

/// Starts the reads that are due.
pub fn platform_due(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    if settings.gateway.is_some() {
        return;
    }
    fleet.reading.is_reader = is_reader(fleet, settings.fleet.readers_per_zone_count);
    drop_lost_reads(fleet, settings, now);
    let has_no_members = fleet.members.is_empty();
    if (fleet.reading.is_reader || has_no_members) && is_list_due(fleet, now) {
        fleet.reading.list_in_flight = Some(now);
        fleet.reading.list_reads_count += 1;
        start_read(PlatformRead::Instances, out);
    }
    // Until the list was read, every instance would take itself for a reader.
    let is_list_known = fleet.reading.list_due.is_some();
    if is_list_known && is_note_reader(fleet, now) && is_note_due(fleet, now) {
        fleet.reading.note_in_flight = Some(now);
        fleet.reading.note_reads_count += 1;
        let after_version = if fleet.vouched_at.is_none() {
            0
        } else {
            fleet.platform_version
        };
        start_read(PlatformRead::WatchNote { after_version }, out);
    }
}

/// Notes that the configuration was read; returns whether the answer can be trusted to be current.
pub(crate) fn record_note_read(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    version: u64,
    out: &mut Vec<Effect>,
) -> bool {
    let reading = &mut fleet.reading;
    reading.is_answered = true;
    if reading.discarded_count > 0 {
        reading.discarded_count -= 1;
        return false;
    }
    fleet.platform_version = version;
    reading.failures_count = 0;
    let started_at = reading.note_in_flight.take().unwrap_or(now);
    let due = now.max(started_at + NOTE_READ_MIN_INTERVAL);
    if reading.fallback_until.is_some()
        && should_extend_fallback(fleet.freshness_source, reading, now)
    {
        reading.fallback_until = Some(now + FALLBACK_DURATION);
    }
    schedule(fleet, settings, now, due, out);
    true
}

/// Notes that the list of instances was read.
pub(crate) fn record_list_read(fleet: &mut FleetState, now: Instant) {
    let jitter_ratio = fleet.rng.random_range(0.8..1.2);
    let reading = &mut fleet.reading;
    reading.list_in_flight = None;
    reading.list_failures_count = 0;
    reading.list_due = Some(now + LIST_READ_INTERVAL.mul_f64(jitter_ratio));
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
        join::try_complete(fleet, &settings.fleet, now, out);
        return;
    }
    reading.is_answered = true;
    if reading.discarded_count > 0 {
        reading.discarded_count -= 1;
        return;
    }
    let due = now + retry_delay(reading.failures_count, jitter_ratio);
    reading.failures_count += 1;
    reading.note_in_flight = None;
    reading.fallback_until = None;
    schedule(fleet, settings, now, due, out);
    join::try_complete(fleet, &settings.fleet, now, out);
}

/// Distrusts the read in flight, which may have been answered before a pause, and reads again.
pub(crate) fn discard_in_flight(fleet: &mut FleetState) {
    let reading = &mut fleet.reading;
    if reading.note_in_flight.take().is_some() {
        reading.discarded_count += 1;
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
    if !is_note_reader(fleet, now) {
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

fn is_note_reader(fleet: &FleetState, now: Instant) -> bool {
    let reading = &fleet.reading;
    reading.is_reader || reading.fallback_until.is_some_and(|until| now < until)
}

fn should_extend_fallback(
    freshness_source: FreshnessSource,
    reading: &crate::PlatformReadState,
    now: Instant,
) -> bool {
    let is_fallback_over = reading.fallback_until.is_none_or(|until| now >= until);
    !is_fallback_over || freshness_source != FreshnessSource::Peer
}

fn is_list_due(fleet: &FleetState, now: Instant) -> bool {
    let reading = &fleet.reading;
    reading.list_in_flight.is_none() && reading.list_due.is_none_or(|due| now >= due)
}

fn is_note_due(fleet: &FleetState, now: Instant) -> bool {
    let reading = &fleet.reading;
    reading.note_in_flight.is_none() && reading.note_due.is_none_or(|due| now >= due)
}

fn drop_lost_reads(fleet: &mut FleetState, settings: &Settings, now: Instant) {
    let lost_after = settings.platform.watch_timeout + LOST_READ_MARGIN;
    let is_lost = |started_at: &Instant| now.saturating_duration_since(*started_at) > lost_after;
    let reading = &mut fleet.reading;
    reading.note_in_flight = reading.note_in_flight.filter(|at| !is_lost(at));
    reading.list_in_flight = reading.list_in_flight.filter(|at| !is_lost(at));
}

fn retry_delay(failures_count: u32, jitter_ratio: f64) -> Duration {
    let doubled = RETRY_INITIAL_DELAY.saturating_mul(1 << failures_count.min(8));
    doubled.min(RETRY_MAX_DELAY).mul_f64(jitter_ratio)
}

fn start_read(read: PlatformRead, out: &mut Vec<Effect>) {
    out.push(Effect::ReadPlatform(read));
    out.push(Effect::Count {
        counter: Counter::PlatformReads,
        amount_count: 1,
    });
}

/// Tells whether this instance's own reads have told it what the platform holds.
pub(crate) fn has_finished_initial_reads(fleet: &FleetState) -> bool {
    let reading = &fleet.reading;
    let is_list_answered = reading.list_in_flight.is_none();
    let is_note_answered = reading.is_answered || !reading.is_reader;
    fleet.join == Join::Waiting && is_list_answered && is_note_answered
}
