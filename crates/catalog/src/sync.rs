//! Replication of the store: a list of each area, then watches from the revision of the list.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use model::{Effect, StoreArea, StoreFailure, StoreRead, StoreRecord, Timer};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{
    Catalog,
    apply::{Change, apply, mark_unlisted_removed},
};

/// Time after which the store ends a watch without changes.
///
/// A watch on a dead connection is detected after this time plus the shell's margin. That must
/// leave time to read a change within the platform's bounds: four seconds for machines that were
/// cut off, and three seconds for configurations.
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// Watch time of a zone's reader, short so that followers soon detect that it lost the store.
const READER_WATCH_WAIT: Duration = Duration::from_secs(1);
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
/// Limit of doublings of the retry delay.
const RETRY_MAX_DOUBLINGS: u32 = 4;

/// Replication progress of all areas.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct SyncState {
    /// Role of this instance in its zone.
    pub role: Role,
    /// Progress of the configuration and the evacuated zones.
    pub operators: AreaProgress,
    /// Progress of the registrations of targets.
    pub targets: AreaProgress,
}

/// Role of an instance in reading the store for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Reads the store for itself only.
    Alone,
    /// Reads the store and sends the changes to the other instances of its zone.
    Reader,
    /// Applies the changes that its zone's reader sends, and reads the store itself if they stop.
    Follower,
}

/// Replication progress of one area.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct AreaProgress {
    /// Current or next read.
    pub stage: Stage,
    /// Whether a complete list has been read since the start.
    pub is_known: bool,
    /// Consecutive failed reads.
    pub failures_count: u32,
    /// Whether a read is in flight.
    pub is_reading: bool,
    /// When the store last answered this instance.
    #[serde(skip)]
    pub answered_at: Option<Instant>,
    /// When changes from the zone's reader were last applied.
    #[serde(skip)]
    pub shared_at: Option<Instant>,
    /// Target identifiers or evacuated zones on the pages read so far of the current list.
    #[serde(skip)]
    listed_names: HashSet<String>,
}

/// Kind and position of the current or next read of an area.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub enum Stage {
    /// Reads all items page by page.
    Listing {
        /// Key after which the next page begins; absent for the first page.
        after: Option<String>,
        /// Revision of the first page, after which changes will be watched; absent before it.
        revision: Option<u64>,
    },
    /// Waits for changes.
    Watching {
        /// Revision up to which all changes are applied.
        revision: u64,
    },
}

impl Default for Stage {
    fn default() -> Stage {
        Stage::Listing {
            after: None,
            revision: None,
        }
    }
}

/// Returns the initial progress, before any read.
pub fn new_sync_state() -> SyncState {
    SyncState {
        role: Role::Alone,
        operators: AreaProgress::default(),
        targets: AreaProgress::default(),
    }
}

/// Starts the first list of each area.
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
    let role = sync.role;
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
    let has_recent_answer = progress.failures_count == 0
        && progress
            .answered_at
            .is_some_and(|at| now < at + RECENT_ANSWER_MAX_AGE);
    let read = match &progress.stage {
        Stage::Listing { after, .. } => StoreRead::List {
            area,
            after: after.clone(),
        },
        Stage::Watching { revision } => StoreRead::Watch {
            area,
            after_revision: *revision,
            wait: match role {
                _ if !has_recent_answer => RECOVERY_WATCH_WAIT,
                Role::Reader => READER_WATCH_WAIT,
                Role::Alone | Role::Follower => WATCH_WAIT,
            },
        },
    };
    out.push(Effect::ReadStore(read));
}

/// Changes sent by the reader of the zone.
#[derive(Clone, Copy, Debug)]
pub struct SharedChanges<'a> {
    /// Area that the changes belong to.
    pub area: StoreArea,
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
/// instance's own reads obtain them.
pub fn on_shared_changes(
    sync: &mut SyncState,
    catalog: &mut Catalog,
    now: Instant,
    shared: &SharedChanges<'_>,
) -> Vec<Change> {
    let progress = area_progress_mut(sync, shared.area);
    let Stage::Watching { revision } = progress.stage else {
        return Vec::new();
    };
    if shared.after_revision > revision || shared.revision < revision {
        return Vec::new();
    }
    progress.shared_at = Some(now);
    progress.stage = Stage::Watching {
        revision: shared.revision,
    };
    let records = latest_records(shared.records);
    records
        .filter_map(|record| apply(catalog, now, record))
        .collect()
}

/// Answer of the store to a read.
#[derive(Clone, Copy, Debug)]
pub struct StoreAnswer<'a> {
    /// Read that was answered.
    pub read: &'a StoreRead,
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

/// Applies an answer of the store, schedules the next read, and returns how the catalog changed.
pub fn on_store_answer(
    sync: &mut SyncState,
    catalog: &mut Catalog,
    now: Instant,
    answer: &StoreAnswer<'_>,
    out: &mut Vec<Effect>,
) -> Vec<Change> {
    let area = answer.read.area();
    let progress = area_progress_mut(sync, area);
    progress.is_reading = false;
    if progress.failures_count > 0 {
        catalog.lapse_window_until = Some(now + LAPSE_WINDOW);
    }
    progress.failures_count = 0;
    progress.answered_at = Some(now);
    // The zone's reader may have sent later changes while this read was in flight.
    let known_revision = match (answer.read, &progress.stage) {
        (StoreRead::Watch { .. }, Stage::Watching { revision }) => *revision,
        _ => 0,
    };
    let mut changes: Vec<Change> = Vec::new();
    if answer.revision >= known_revision {
        let records = latest_records(answer.records);
        changes.extend(records.filter_map(|record| apply(catalog, now, record)));
    }
    let progress = area_progress_mut(sync, area);
    progress.stage = match (answer.read, &progress.stage) {
        (StoreRead::Watch { .. }, _) => Stage::Watching {
            revision: answer.revision.max(known_revision),
        },
        (StoreRead::List { .. }, stage) => {
            progress
                .listed_names
                .extend(answer.records.iter().filter_map(listed_name));
            // Pages are read one after another, so a change may fall between two of them. Watching
            // from the first page's revision covers all such changes.
            let first_revision = match stage {
                Stage::Listing { revision, .. } => revision.unwrap_or(answer.revision),
                Stage::Watching { revision } => *revision,
            };
            match answer.next_page {
                Some(after) => Stage::Listing {
                    after: Some(after.to_owned()),
                    revision: Some(first_revision),
                },
                None => {
                    let listed_names = std::mem::take(&mut progress.listed_names);
                    progress.is_known = true;
                    reconcile_listed(catalog, now, area, &listed_names, &mut changes);
                    Stage::Watching {
                        revision: first_revision,
                    }
                }
            }
        }
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

/// Returns the records without those of targets that a later record of the answer replaces.
///
/// An answer may repeat changes from before the known revision. A target that has left would
/// otherwise take part again, until the grace period of its removal is over once more.
fn latest_records(records: &[StoreRecord]) -> impl Iterator<Item = &StoreRecord> {
    let indices = records.iter().enumerate();
    let last: HashMap<&str, usize> = indices
        .filter_map(|(index, record)| Some((target_id(record)?, index)))
        .collect();
    let records = records.iter().enumerate();
    records.filter_map(move |(index, record)| {
        let is_last = target_id(record).is_none_or(|id| last.get(id) == Some(&index));
        is_last.then_some(record)
    })
}

fn target_id(record: &StoreRecord) -> Option<&str> {
    match record {
        StoreRecord::Target { target_id, .. } | StoreRecord::TargetRemoved { target_id } => {
            Some(target_id)
        }
        _ => None,
    }
}

fn is_watching(sync: &SyncState, area: StoreArea) -> bool {
    matches!(
        self::area_progress(sync, area).stage,
        Stage::Watching { .. }
    )
}

/// Records a failed read and schedules a retry with exponential backoff and jitter.
///
/// A failed list starts again from its first page. A watch starts a new list only if the store no
/// longer has the history after its revision.
pub fn on_read_failure(
    sync: &mut SyncState,
    rng: &mut ChaCha8Rng,
    read: &StoreRead,
    failure: StoreFailure,
    out: &mut Vec<Effect>,
) {
    let area = read.area();
    let progress = area_progress_mut(sync, area);
    progress.is_reading = false;
    if failure == StoreFailure::Compacted || matches!(read, StoreRead::List { .. }) {
        progress.stage = Stage::default();
        progress.listed_names.clear();
    }
    let doublings = progress.failures_count.min(RETRY_MAX_DOUBLINGS);
    progress.failures_count += 1;
    let delay = (RETRY_INITIAL_DELAY * 2_u32.pow(doublings)).min(RETRY_MAX_DELAY);
    out.push(Effect::SetTimer {
        timer: Timer::Store(area),
        after: delay.mul_f64(rng.random_range(0.5..1.0)),
    });
}

/// Returns the replication progress of an area.
pub fn area_progress(sync: &SyncState, area: StoreArea) -> &AreaProgress {
    match area {
        StoreArea::Operators => &sync.operators,
        StoreArea::Targets => &sync.targets,
    }
}

fn area_progress_mut(sync: &mut SyncState, area: StoreArea) -> &mut AreaProgress {
    match area {
        StoreArea::Operators => &mut sync.operators,
        StoreArea::Targets => &mut sync.targets,
    }
}

fn listed_name(record: &StoreRecord) -> Option<String> {
    match record {
        StoreRecord::Target {
            target_id,
            registration: Some(_),
        } => Some(target_id.clone()),
        StoreRecord::ZoneOut { zone, is_out: true } => Some(zone.clone()),
        _ => None,
    }
}

/// Marks targets as removed, or returns zones to service, that a complete list does not contain.
fn reconcile_listed(
    catalog: &mut Catalog,
    now: Instant,
    area: StoreArea,
    listed_names: &HashSet<String>,
    changes: &mut Vec<Change>,
) {
    match area {
        StoreArea::Targets => mark_unlisted_removed(catalog, now, listed_names, changes),
        StoreArea::Operators => {
            let zones = catalog.zones_out.iter();
            let returned_zones: Vec<String> = zones
                .filter(|zone| !listed_names.contains(*zone))
                .cloned()
                .collect();
            for zone in returned_zones {
                let record = StoreRecord::ZoneOut {
                    zone,
                    is_out: false,
                };
                changes.extend(apply(catalog, now, &record));
            }
        }
    }
}
