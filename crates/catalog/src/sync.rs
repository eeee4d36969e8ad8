//! Replication of the store: a list of each area, then watches from the revision of the list.

use std::time::{Duration, Instant};

use model::{Effect, StoreArea, StoreFailure, StoreRead, StoreRecord, Timer};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::{
    Catalog, Change, listing,
    progress::{
        AreaProgress, Role, Stage, SyncState, area_progress, area_progress_mut, end_read,
        enter_era, era, is_watching,
    },
    restore,
};

/// Maximum time after which the store ends a watch without changes.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(5);
/// Maximum watch time of a zone's reader, short so that followers soon detect that it lost the store.
const READER_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Time limit of a read, in addition to the time that a watch waits for a change.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The same for a watch while the store answers, which takes milliseconds, or a quarter of a second
/// under load. A store that exceeds it gets [`ANSWER_TIMEOUT`] with the next read.
const WATCH_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// Time reserved for the read that follows a watch on a dead connection: the retry delay, a new
/// connection, and the delays of a busy instance.
const REREAD_RESERVE: Duration = Duration::from_millis(500);
/// Watch time after a failure, or when this instance has no recent answer of its own. A store that
/// never answers a watch looks like one without changes until the watch ends, so the first watches
/// are short to detect that the store is back or has compacted its history.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Age up to which an answer to this instance shows that the store answers watches; covers the
/// delay between an answer and the next watch with a margin.
const RECENT_ANSWER_MAX_AGE: Duration = Duration::from_secs(1);
/// Age of the reader's last message after which a follower reads the store itself: one watch, the
/// margin for a slow store, and the transfer between instances.
const SHARED_MAX_AGE: Duration = Duration::from_millis(1_600);
/// Interval at which a follower checks the age of the reader's last message.
const SHARED_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Retry delay after the first failure, before jitter.
const RETRY_INITIAL_DELAY: Duration = Duration::from_millis(150);
/// Maximum retry delay, before jitter. Bounds both the request rate to an unreachable store and the
/// time to detect that it is back.
const RETRY_MAX_DELAY: Duration = Duration::from_millis(1_000);
/// Delay between an answer with changes to targets and the next watch, so that one call returns the
/// changes of many targets. Not applied if the answer was incomplete. Short compared with the three
/// seconds for which a leaving target keeps serving.
const TARGETS_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Time after the store is back in which a missing registration is taken to have lapsed during the
/// outage.
const LAPSE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which answers of an earlier era are refused before the area's era is given up: the store
/// went back for good, or one answer or one peer stated a wrong era. With one retry and the list it
/// is less than the five seconds in which a configuration takes effect.
const EARLIER_ERA_LIMIT: Duration = Duration::from_secs(3);
/// Delay of the new lists if another era began within this time before. Bounds the reads of a store
/// whose era rises with each answer; equal to the longest retry delay.
const ERA_MIN_INTERVAL: Duration = RETRY_MAX_DELAY;
/// Limit of doublings of the retry delay.
const RETRY_MAX_DOUBLINGS: u32 = 4;

/// Returns the time after which watches without changes have to end for a dead connection to be
/// detected within the limits of the deployment.
///
/// A connection may fall silent at the moment at which a change is made. The change has to be in
/// force once both limits have passed: `contact` since the silence began, `change` since the change.
pub fn watch_wait(contact: Duration, change: Duration) -> Duration {
    let limit = contact.max(change);
    let wait = limit.saturating_sub(WATCH_ANSWER_TIMEOUT + REREAD_RESERVE);
    wait.clamp(RECOVERY_WATCH_WAIT, WATCH_WAIT_MAX)
}

/// Starts the next read of each area unless one is in flight.
pub fn start(sync: &mut SyncState, now: Instant, out: &mut Vec<Effect>) {
    for area in [StoreArea::Operators, StoreArea::Targets] {
        start_next_read(sync, now, area, out);
    }
}

/// Starts the next read of an area unless one is in flight.
///
/// A follower that watches and has recently received changes from its zone's reader sets a timer
/// instead.
pub fn start_next_read(sync: &mut SyncState, now: Instant, area: StoreArea, out: &mut Vec<Effect>) {
    let (role, watch_wait) = (sync.role, sync.watch_wait);
    let progress = area_progress_mut(sync, area);
    if progress.is_reading {
        return;
    }
    let has_recent_shared_changes = progress
        .shared_at
        .is_some_and(|at| now < at + SHARED_MAX_AGE);
    let is_watching = matches!(progress.stage, Stage::Watching { .. });
    if role == Role::Follower && is_watching && has_recent_shared_changes {
        out.push(Effect::SetTimer {
            timer: Timer::Store(area),
            after: SHARED_CHECK_INTERVAL,
        });
        return;
    }
    progress.is_reading = true;
    progress.read_era = progress.era;
    let era = progress.era;
    let has_recent_answer = progress.failures_count == 0
        && progress
            .answered_at
            .is_some_and(|at| now < at + RECENT_ANSWER_MAX_AGE);
    let (read, timeout) = match &progress.stage {
        Stage::Listing { after, .. } => {
            let after = after.clone();
            (StoreRead::List { area, era, after }, ANSWER_TIMEOUT)
        }
        Stage::Watching { revision } => {
            let (wait, answer_timeout) = match role {
                _ if !has_recent_answer => (RECOVERY_WATCH_WAIT, ANSWER_TIMEOUT),
                Role::Reader => (READER_WATCH_WAIT.min(watch_wait), WATCH_ANSWER_TIMEOUT),
                Role::Alone | Role::Follower => (watch_wait, WATCH_ANSWER_TIMEOUT),
            };
            let read = StoreRead::Watch {
                area,
                era,
                after_revision: *revision,
                wait,
            };
            (read, wait + answer_timeout)
        }
    };
    progress.read = Some(read.clone());
    out.push(Effect::ReadStore { read, timeout });
}

/// Returns whether a follower has not heard its zone's reader for so long that it reads the store
/// itself.
pub fn has_lost_reader(sync: &SyncState, now: Instant) -> bool {
    let is_lost = |area| {
        let shared_at = area_progress(sync, area).shared_at;
        shared_at.is_none_or(|at| now >= at + SHARED_MAX_AGE)
    };
    sync.role == Role::Follower && (is_lost(StoreArea::Operators) || is_lost(StoreArea::Targets))
}

/// Starts a new list of each area whose era is earlier than `era`.
fn begin_era(
    sync: &mut SyncState,
    catalog: &mut Catalog,
    now: Instant,
    era: u64,
    out: &mut Vec<Effect>,
) {
    sync.abandoned_era = sync.abandoned_era.filter(|&abandoned| era < abandoned);
    let is_soon = sync
        .era_began_at
        .is_some_and(|at| now < at + ERA_MIN_INTERVAL);
    sync.era_began_at = Some(now);
    for area in [StoreArea::Operators, StoreArea::Targets] {
        let progress = area_progress_mut(sync, area);
        if progress.era >= era {
            continue;
        }
        enter_era(progress, era);
        restore::begin_era(&mut catalog.restore, area);
        if is_soon && !progress.is_reading {
            out.push(Effect::SetTimer {
                timer: Timer::Store(area),
                after: ERA_MIN_INTERVAL,
            });
        }
    }
    if !is_soon {
        start(sync, now, out);
    }
}

/// Returns whether the store has stated an earlier era for so long that the area's is given up.
fn is_era_over(progress: &mut AreaProgress, now: Instant, failed: &FailedRead<'_>) -> bool {
    if failed.failure != StoreFailure::EarlierEra {
        return false;
    }
    let since = *progress.earlier_era_since.get_or_insert(now);
    now >= since + EARLIER_ERA_LIMIT
}

/// Changes sent by the reader of the zone.
#[derive(Clone, Copy, Debug)]
pub struct SharedChanges<'a> {
    /// Area that the changes belong to.
    pub area: StoreArea,
    /// Era of the store that both revisions belong to.
    pub era: u64,
    /// Revision that precedes the first change.
    pub after_revision: u64,
    /// Revision up to which all changes are included.
    pub revision: u64,
    /// Changes in revision order.
    pub records: &'a [StoreRecord],
}

/// Applies changes sent by the reader of the zone, and returns how they changed the catalog.
///
/// Changes that would leave a gap after the known revision or are older than it are ignored; this
/// instance's own reads obtain them. Changes of an earlier era are ignored too; those of a later one
/// start a new list, because the revisions of two eras cannot be compared.
pub fn on_shared_changes(
    sync: &mut SyncState,
    catalog: &mut Catalog,
    now: Instant,
    shared: &SharedChanges<'_>,
    out: &mut Vec<Effect>,
) -> Vec<Change> {
    if shared.era > era(sync) {
        let abandoned_era = sync.abandoned_era;
        if abandoned_era.is_none_or(|abandoned| shared.era < abandoned) {
            begin_era(sync, catalog, now, shared.era, out);
        }
        return Vec::new();
    }
    let progress = area_progress_mut(sync, shared.area);
    let Stage::Watching { revision } = progress.stage else {
        return Vec::new();
    };
    if shared.era != progress.era {
        return Vec::new();
    }
    if shared.after_revision < progress.restored_revision {
        return Vec::new();
    }
    if shared.after_revision > revision || shared.revision < revision {
        return Vec::new();
    }
    progress.shared_at = Some(now);
    if shared.revision == revision {
        return Vec::new();
    }
    progress.stage = Stage::Watching {
        revision: shared.revision,
    };
    listing::apply_written(catalog, now, shared.records)
}

/// Answer of the store to a read.
#[derive(Clone, Copy, Debug)]
pub struct StoreAnswer<'a> {
    /// Read that was answered.
    pub read: &'a StoreRead,
    /// Era of the store; 0 if it states none.
    pub era: u64,
    /// Items of the page of a list, or changes of a watch in revision order.
    pub records: &'a [StoreRecord],
    /// For a watch, the revision up to which all changes are included; for a page of a list, the
    /// revision of the store at the read.
    pub revision: u64,
    /// Whether the store may have changes after `revision`.
    pub is_behind: bool,
    /// Key after which the next page begins; absent on the last page.
    pub next_page: Option<&'a str>,
}

/// Returns whether an answer belongs to an earlier era of the store than one already heard of, and
/// is to be handled as a failure of the read.
pub fn is_earlier_era(sync: &SyncState, answer: &StoreAnswer<'_>) -> bool {
    answer.era < area_progress(sync, answer.read.area()).era
}

/// Applies an answer of the store, schedules the next read, and returns how the catalog changed.
pub fn on_store_answer(
    sync: &mut SyncState,
    catalog: &mut Catalog,
    now: Instant,
    answer: &StoreAnswer<'_>,
    out: &mut Vec<Effect>,
) -> Vec<Change> {
    let area = answer.read.area();
    let is_replaced = end_read(sync, answer.read);
    let progress = area_progress_mut(sync, area);
    // Keeps the new era from repeating the read: a first page that states it belongs to it.
    let is_first_page = !is_replaced && matches!(answer.read, StoreRead::List { after: None, .. });
    progress.is_reading |= is_first_page;
    if answer.era > progress.era {
        begin_era(sync, catalog, now, answer.era, out);
        if !is_first_page {
            return Vec::new();
        }
    } else if is_replaced {
        return Vec::new();
    }
    let progress = area_progress_mut(sync, area);
    progress.is_reading = false;
    if progress.failures_count > 0 {
        catalog.lapse_window_until = Some(now + LAPSE_WINDOW);
    }
    progress.failures_count = 0;
    progress.earlier_era_since = None;
    progress.answered_at = Some(now);
    let changes = match answer.read {
        StoreRead::Watch { .. } => apply_watch(progress, catalog, now, answer),
        StoreRead::List { .. } => apply_list(progress, catalog, now, answer),
    };
    let is_up_to_date = is_watching(sync, area) && !answer.is_behind;
    if area == StoreArea::Targets && !answer.records.is_empty() && is_up_to_date {
        out.push(Effect::SetTimer {
            timer: Timer::Store(area),
            after: TARGETS_BATCH_DELAY,
        });
    } else {
        start_next_read(sync, now, area, out);
    }
    changes
}

/// Applies the changes of a watch.
fn apply_watch(
    progress: &mut AreaProgress,
    catalog: &mut Catalog,
    now: Instant,
    answer: &StoreAnswer<'_>,
) -> Vec<Change> {
    // The zone's reader may have sent later changes while this read was in flight.
    let known_revision = match progress.stage {
        Stage::Watching { revision } => revision,
        Stage::Listing { .. } => 0,
    };
    progress.stage = Stage::Watching {
        revision: answer.revision.max(known_revision),
    };
    if answer.revision < known_revision {
        return Vec::new();
    }
    listing::apply_written(catalog, now, answer.records)
}

/// Applies a page of a list, and what is missing from the list after its last page.
fn apply_list(
    progress: &mut AreaProgress,
    catalog: &mut Catalog,
    now: Instant,
    answer: &StoreAnswer<'_>,
) -> Vec<Change> {
    let is_restoring = progress.is_restoring;
    let listed_names = &mut progress.listed_names;
    let mut changes = listing::apply_page(catalog, now, answer.records, is_restoring, listed_names);
    // Pages are read one after another, so a change may fall between two of them. Watching from the
    // first page's revision covers all such changes.
    let first_revision = match progress.stage {
        Stage::Listing { revision, .. } => revision.unwrap_or(answer.revision),
        Stage::Watching { revision } => revision,
    };
    if let Some(after) = answer.next_page {
        progress.stage = Stage::Listing {
            after: Some(after.to_owned()),
            revision: Some(first_revision),
        };
        return changes;
    }
    let area = answer.read.area();
    if is_restoring && area == StoreArea::Targets {
        catalog.lapse_window_until = Some(now + LAPSE_WINDOW);
    }
    let listed_names = std::mem::take(&mut progress.listed_names);
    listing::reconcile_listed(
        catalog,
        now,
        area,
        is_restoring,
        &listed_names,
        &mut changes,
    );
    if is_restoring {
        progress.restored_revision = first_revision;
    }
    progress.is_known = true;
    progress.is_restoring = false;
    progress.stage = Stage::Watching {
        revision: first_revision,
    };
    changes
}

/// A read of the store that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedRead<'a> {
    /// The read.
    pub read: &'a StoreRead,
    /// Why it failed.
    pub failure: StoreFailure,
    /// Era of the store that the response states; 0 if there is none.
    pub era: u64,
}

/// Records a failed read and schedules a retry with exponential backoff and jitter.
///
/// A failed list starts again from its first page. A watch starts a new list only if the store no
/// longer has the history after its revision, states a later era, or has stated an earlier one for
/// some seconds.
pub fn on_read_failure(
    sync: &mut SyncState,
    catalog: &mut Catalog,
    rng: &mut ChaCha8Rng,
    now: Instant,
    failed: &FailedRead<'_>,
    out: &mut Vec<Effect>,
) {
    let area = failed.read.area();
    let is_replaced = end_read(sync, failed.read);
    let progress = area_progress_mut(sync, area);
    if failed.era > progress.era {
        return begin_era(sync, catalog, now, failed.era, out);
    }
    if is_replaced {
        return;
    }
    if is_era_over(progress, now, failed) {
        let abandoned_era = progress.era;
        enter_era(progress, failed.era);
        progress.earlier_era_since = None;
        restore::begin_era(&mut catalog.restore, area);
        let known = sync.abandoned_era.unwrap_or(u64::MAX);
        sync.abandoned_era = Some(abandoned_era.min(known));
        return start_next_read(sync, now, area, out);
    }
    let is_list = matches!(failed.read, StoreRead::List { .. });
    if failed.failure == StoreFailure::Compacted || is_list {
        progress.stage = Stage::default();
        progress.listed_names.clear();
    }
    let doublings = progress.failures_count.min(RETRY_MAX_DOUBLINGS);
    progress.failures_count = progress.failures_count.saturating_add(1);
    let delay = (RETRY_INITIAL_DELAY * 2_u32.pow(doublings)).min(RETRY_MAX_DELAY);
    out.push(Effect::SetTimer {
        timer: Timer::Store(area),
        after: delay.mul_f64(rng.random_range(0.5..1.0)),
    });
}
