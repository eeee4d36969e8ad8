//! Scheduling of the reads of the platform.

use std::time::{Duration, Instant};

use model::{Counter, Effect, PlatformRead, Timer};
use rand::RngExt;
use settings::Settings;

use crate::{FleetState, FreshnessSource, JoinState, join, readers::is_reader};

/// Minimum time between the starts of two configuration reads.
const NOTE_READ_MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two instance list reads, before jitter.
const LIST_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Retry delay after the first failure, before jitter; doubled by each further failure.
const RETRY_INITIAL_DELAY: Duration = Duration::from_secs(1);
/// Maximum retry delay, before jitter.
const RETRY_MAX_DELAY: Duration = Duration::from_secs(8);
/// Time beyond the watch timeout after which a read in flight is given up as lost.
const LOST_READ_MARGIN: Duration = Duration::from_secs(10);
/// Time for which an instance that is not a reader continues to read after a successful read.
const FALLBACK_DURATION: Duration = Duration::from_secs(60);
/// Maximum rate of platform reads of one reader, configuration and instance list together.
pub const READS_PER_READER_MAX_PER_S: u32 = 4;

/// Starts to join the fleet. The instance list is read first, because it decides whether this
/// instance is a reader.
pub fn start_join(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    fleet.join_started_at = Some(now);
    start_due_reads(fleet, settings, now, out);
}

/// Starts the reads that are due.
pub fn start_due_reads(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    out: &mut Vec<Effect>,
) {
    if settings.gateway.is_some() {
        return;
    }
    fleet.platform_reads.is_reader = is_reader(fleet, settings.fleet.readers_per_zone_count);
    drop_lost_reads(fleet, settings, now);
    let has_no_members = fleet.members.is_empty();
    if (fleet.platform_reads.is_reader || has_no_members) && is_list_due(fleet, now) {
        fleet.platform_reads.list_in_flight = Some(now);
        fleet.platform_reads.list_reads_count += 1;
        start_read(PlatformRead::Instances, out);
    }
    // Before the first list read has ended, no members are known and every instance would consider
    // itself a reader.
    let is_list_known = fleet.platform_reads.list_due.is_some();
    if is_list_known && is_note_reader(fleet, now) && is_note_due(fleet, now) {
        fleet.platform_reads.note_in_flight = Some(now);
        fleet.platform_reads.note_reads_count += 1;
        // Without a confirmation, as after a pause, the read must not wait for a newer version.
        let after_version = if fleet.fresh_as_of.is_none() {
            0
        } else {
            fleet.platform_version
        };
        start_read(PlatformRead::WatchNote { after_version }, out);
    }
}

/// Records a successful configuration read; returns whether its result is known to be current.
///
/// Returns false for a read that was in flight during a pause, because the platform may have
/// answered it before the pause.
pub(crate) fn record_note_read(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    version: u64,
    out: &mut Vec<Effect>,
) -> bool {
    let platform_reads = &mut fleet.platform_reads;
    platform_reads.has_note_read_ended = true;
    if platform_reads.discarded_count > 0 {
        platform_reads.discarded_count -= 1;
        return false;
    }
    fleet.platform_version = version;
    platform_reads.failures_count = 0;
    let started_at = platform_reads.note_in_flight.take().unwrap_or(now);
    let due = now.max(started_at + NOTE_READ_MIN_INTERVAL);
    if platform_reads.fallback_until.is_some()
        && should_extend_fallback(fleet.freshness_source, platform_reads, now)
    {
        platform_reads.fallback_until = Some(now + FALLBACK_DURATION);
    }
    schedule(fleet, settings, now, due, out);
    true
}

/// Records a successful instance list read.
pub(crate) fn record_list_read(fleet: &mut FleetState, now: Instant) {
    let jitter_ratio = fleet.rng.random_range(0.8..1.2);
    let platform_reads = &mut fleet.platform_reads;
    platform_reads.list_in_flight = None;
    platform_reads.list_failures_count = 0;
    platform_reads.list_due = Some(now + LIST_READ_INTERVAL.mul_f64(jitter_ratio));
}

/// Records a failed read of the platform and schedules a retry with exponential backoff.
pub fn on_read_failure(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    failed: PlatformRead,
    out: &mut Vec<Effect>,
) {
    let jitter_ratio = fleet.rng.random_range(0.5..1.0);
    let platform_reads = &mut fleet.platform_reads;
    if failed == PlatformRead::Instances {
        platform_reads.list_in_flight = None;
        platform_reads.list_due =
            Some(now + retry_delay(platform_reads.list_failures_count, jitter_ratio));
        platform_reads.list_failures_count += 1;
        start_due_reads(fleet, settings, now, out);
        join::try_complete(fleet, &settings.fleet, now, out);
        return;
    }
    platform_reads.has_note_read_ended = true;
    if platform_reads.discarded_count > 0 {
        platform_reads.discarded_count -= 1;
        return;
    }
    let due = now + retry_delay(platform_reads.failures_count, jitter_ratio);
    platform_reads.failures_count += 1;
    platform_reads.note_in_flight = None;
    platform_reads.fallback_until = None;
    schedule(fleet, settings, now, due, out);
    join::try_complete(fleet, &settings.fleet, now, out);
}

/// Discards the configuration read in flight, which may have been answered before a pause, and
/// allows a new one at once.
pub(crate) fn discard_in_flight(fleet: &mut FleetState) {
    let platform_reads = &mut fleet.platform_reads;
    if platform_reads.note_in_flight.take().is_some() {
        platform_reads.discarded_count += 1;
    }
    platform_reads.note_due = None;
}

fn schedule(
    fleet: &mut FleetState,
    settings: &Settings,
    now: Instant,
    due: Instant,
    out: &mut Vec<Effect>,
) {
    fleet.platform_reads.note_due = Some(due);
    if !is_note_reader(fleet, now) {
        return;
    }
    let after = due.saturating_duration_since(now);
    if after.is_zero() {
        start_due_reads(fleet, settings, now, out);
        return;
    }
    out.push(Effect::SetTimer {
        timer: Timer::Platform,
        after,
    });
}

/// Returns whether this instance reads the configuration, as a reader or in a fallback period.
fn is_note_reader(fleet: &FleetState, now: Instant) -> bool {
    let platform_reads = &fleet.platform_reads;
    platform_reads.is_reader
        || platform_reads
            .fallback_until
            .is_some_and(|until| now < until)
}

/// Returns whether a successful read extends the fallback period: it is not over yet, or the
/// freshness does not come from peers.
fn should_extend_fallback(
    freshness_source: FreshnessSource,
    platform_reads: &crate::PlatformReadState,
    now: Instant,
) -> bool {
    let is_fallback_over = platform_reads
        .fallback_until
        .is_none_or(|until| now >= until);
    !is_fallback_over || freshness_source != FreshnessSource::Peer
}

fn is_list_due(fleet: &FleetState, now: Instant) -> bool {
    let platform_reads = &fleet.platform_reads;
    platform_reads.list_in_flight.is_none() && platform_reads.list_due.is_none_or(|due| now >= due)
}

fn is_note_due(fleet: &FleetState, now: Instant) -> bool {
    let platform_reads = &fleet.platform_reads;
    platform_reads.note_in_flight.is_none() && platform_reads.note_due.is_none_or(|due| now >= due)
}

fn drop_lost_reads(fleet: &mut FleetState, settings: &Settings, now: Instant) {
    let lost_after = settings.platform.watch_timeout + LOST_READ_MARGIN;
    let is_lost = |started_at: &Instant| now.saturating_duration_since(*started_at) > lost_after;
    let platform_reads = &mut fleet.platform_reads;
    platform_reads.note_in_flight = platform_reads.note_in_flight.filter(|at| !is_lost(at));
    platform_reads.list_in_flight = platform_reads.list_in_flight.filter(|at| !is_lost(at));
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

/// Returns whether the reads that a joining instance needs have ended, also by a failure.
pub(crate) fn has_finished_initial_reads(fleet: &FleetState) -> bool {
    let platform_reads = &fleet.platform_reads;
    let is_list_read_done = platform_reads.list_in_flight.is_none();
    let is_note_read_done = platform_reads.has_note_read_ended || !platform_reads.is_reader;
    fleet.join == JoinState::Waiting && is_list_read_done && is_note_read_done
}
