//! Progress of the replication: eras, positions and reads in flight of each area.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use model::{StoreArea, StoreRead};
use serde::Serialize;

/// Replication progress of all areas.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct SyncState {
    /// Role of this instance in its zone.
    pub role: Role,
    /// Time after which a watch without changes ends, unless the store was lost or others rely on it.
    #[serde(skip)]
    pub watch_wait: Duration,
    /// Progress of the configuration and the evacuated zones.
    pub operators: AreaProgress,
    /// Progress of the registrations of targets.
    pub targets: AreaProgress,
    /// Lowest era that was given up because the store went on to state an earlier one. Until the
    /// store itself states it again, shared messages of that era or a later one start no new list.
    pub abandoned_era: Option<u64>,
    /// When this instance last heard of a later era.
    #[serde(skip)]
    pub(crate) era_began_at: Option<Instant>,
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
    /// Latest era of the store that this instance has heard of and not given up, to which all
    /// revisions of the area belong; 0 if the store states none.
    pub era: u64,
    /// Current or next read.
    pub stage: Stage,
    /// Whether the store was restored and the new list is not complete yet.
    pub is_restoring: bool,
    /// Revision of the list that followed the last restore; 0 if there was none. Shared changes from
    /// before it may hold what the copy held, which does not count as written again.
    pub restored_revision: u64,
    /// Whether a complete list has been read since the start.
    pub is_known: bool,
    /// Consecutive failed reads.
    pub failures_count: u32,
    /// Whether a read is in flight.
    pub is_reading: bool,
    /// Era of the read in flight. Answers to reads of an earlier era are ignored, because another
    /// read has replaced them.
    #[serde(skip)]
    pub(crate) read_era: u64,
    /// The read in flight.
    #[serde(skip)]
    pub(crate) read: Option<StoreRead>,
    /// Replaced reads that have not ended yet. Their era alone does not tell them apart once an era
    /// was given up.
    #[serde(skip)]
    pub(crate) replaced_reads: Vec<StoreRead>,
    /// When the store first stated an earlier era since the last answer that was applied.
    #[serde(skip)]
    pub(crate) earlier_era_since: Option<Instant>,
    /// When the store last answered this instance.
    #[serde(skip)]
    pub answered_at: Option<Instant>,
    /// When changes from the zone's reader were last applied.
    #[serde(skip)]
    pub shared_at: Option<Instant>,
    /// Target identifiers or evacuated zones on the pages read so far of the current list.
    #[serde(skip)]
    pub(crate) listed_names: HashSet<String>,
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

/// Returns the initial progress, before any read; [`watch_wait`](crate::watch_wait) derives the time
/// after which watches end.
pub fn new_sync_state(watch_wait: Duration) -> SyncState {
    SyncState {
        role: Role::Alone,
        watch_wait,
        operators: AreaProgress::default(),
        targets: AreaProgress::default(),
        abandoned_era: None,
        era_began_at: None,
    }
}

/// Returns the latest era of the store that this instance has heard of; 0 if there is none.
pub fn era(sync: &SyncState) -> u64 {
    sync.operators.era.max(sync.targets.era)
}

/// Returns whether another read has replaced this one, whose end then means nothing.
pub fn is_replaced(sync: &SyncState, read: &StoreRead) -> bool {
    let progress = area_progress(sync, read.area());
    read.era() < progress.read_era || progress.replaced_reads.contains(read)
}

/// Records the end of a read, and returns whether another one had replaced it.
pub(crate) fn end_read(sync: &mut SyncState, read: &StoreRead) -> bool {
    let is_replaced = is_replaced(sync, read);
    let progress = area_progress_mut(sync, read.area());
    let mut replaced = progress.replaced_reads.iter();
    if let Some(index) = replaced.position(|replaced| replaced == read) {
        progress.replaced_reads.swap_remove(index);
    }
    if !is_replaced {
        progress.is_reading = false;
    }
    is_replaced
}

/// Starts a new list of an area in another era of the store.
///
/// A read in flight is replaced by that list, unless it is for the first page of one: its answer
/// belongs to the new era, or is refused. A watch may last for seconds, and the restored store may
/// accept its revision, which then stands for other changes.
pub(crate) fn enter_era(progress: &mut AreaProgress, era: u64) {
    progress.is_restoring |= progress.answered_at.is_some();
    progress.era = era;
    progress.restored_revision = 0;
    progress.shared_at = None;
    progress.listed_names.clear();
    if progress.stage == Stage::default() {
        return;
    }
    progress.stage = Stage::default();
    if std::mem::take(&mut progress.is_reading) {
        progress.replaced_reads.extend(progress.read.take());
    }
}

pub(crate) fn is_watching(sync: &SyncState, area: StoreArea) -> bool {
    matches!(area_progress(sync, area).stage, Stage::Watching { .. })
}

/// Returns the replication progress of an area.
pub fn area_progress(sync: &SyncState, area: StoreArea) -> &AreaProgress {
    match area {
        StoreArea::Operators => &sync.operators,
        StoreArea::Targets => &sync.targets,
    }
}

pub(crate) fn area_progress_mut(sync: &mut SyncState, area: StoreArea) -> &mut AreaProgress {
    match area {
        StoreArea::Operators => &mut sync.operators,
        StoreArea::Targets => &mut sync.targets,
    }
}
