//! Keeping the catalog in line with the store: a list of each area, then watches from its revision.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use model::{Effect, Record, StoreArea, StoreFailure, StoreRead, Timer};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::{
    Catalog,
    apply::{Change, apply, remove_unlisted},
};

/// Longest time that one watch waits.
///
/// A watch on a connection that has gone silent is noticed after this time and the shell's margin,
/// which has to leave time to read a change within the platform's bound for machines that were cut
/// off (four seconds) and the one for configurations (three seconds).
const WATCH_WAIT: Duration = Duration::from_secs(5);
/// The same for a reader that others of its zone rely on, so that they soon notice that it has lost
/// the store.
const READER_WATCH_WAIT: Duration = Duration::from_secs(1);
/// The same after a failure, and after a time without an own answer. A store that swallows a watch
/// looks like one without news until the watch is over, so the first ones are short and notice that
/// the store is back or has lost its history.
const RECOVERY_WATCH_WAIT: Duration = Duration::from_millis(500);
/// Age of an own answer until which the store is taken to answer watches: the gap between an answer
/// and the next watch, and some more.
const PROVEN_FOR: Duration = Duration::from_secs(1);
/// Age of a reader's last word after which an instance reads by itself: one watch, its margin for
/// a slow store, and the way.
const SHARED_AGE_MAX: Duration = Duration::from_millis(1_600);
/// Time between two looks at the age of the reader's last word.
const SHARED_CHECK: Duration = Duration::from_millis(300);
/// Delay of the first read after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest delay after any number of failures; bounds both the calls to a store that is down and
/// the time until its return is noticed.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(1_000);
/// Time between a change of a target and the next watch, so that changes of many targets cost one
/// call, unless the answer did not hold all changes; short against the three seconds within which a
/// leaving target may still be used.
const TARGETS_GAP: Duration = Duration::from_millis(400);
/// Time after the store's return in which registrations may be missing that have lapsed meanwhile.
const LAPSES_FOR: Duration = Duration::from_secs(3);
/// Doublings of the delay until the longest one is reached.
const RETRY_DOUBLINGS_MAX: u32 = 4;

/// The progress of every area.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct Sync {
    /// Whose reads this instance relies on.
    pub role: Role,
    /// Configuration and zones that are taken out.
    pub operators: AreaSync,
    /// Registrations of targets.
    pub targets: AreaSync,
}

/// Whose reads an instance relies on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Its own; nobody relies on them.
    Alone,
    /// Its own, which it tells to the others of its zone.
    Reader,
    /// Those of its zone's reader, as long as that one is heard.
    Follower,
}

/// The progress of one area.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct AreaSync {
    /// What is being read.
    pub stage: Stage,
    /// Whether a whole list has been read since the start.
    pub is_known: bool,
    /// Failures in a row.
    pub failures_count: u32,
    /// Whether a read has not ended.
    pub is_reading: bool,
    /// When the store last answered this instance.
    #[serde(skip)]
    pub answered_at: Option<Instant>,
    /// When the reader of the zone last told what it has learned.
    #[serde(skip)]
    pub shared_at: Option<Instant>,
    /// Identifiers and zones that the list has named so far.
    #[serde(skip)]
    listed: HashSet<String>,
}

/// What is being read of an area.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub enum Stage {
    /// A list.
    Listing {
        /// Key after which the wanted page begins.
        after: Option<String>,
        /// Revision of the first page, from which changes are watched.
        revision: Option<u64>,
    },
    /// Changes after a revision.
    Watching {
        /// The revision.
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

/// Returns the progress of a process that has just started.
pub fn open() -> Sync {
    Sync {
        role: Role::Alone,
        operators: AreaSync::default(),
        targets: AreaSync::default(),
    }
}

/// Starts the first list of every area.
pub fn started(sync: &mut Sync, now: Instant, out: &mut Vec<Effect>) {
    for area in [StoreArea::Operators, StoreArea::Targets] {
        due(sync, now, area, out);
    }
}

/// Starts the read that an area needs next, unless one runs or the zone's reader is heard.
pub fn due(sync: &mut Sync, now: Instant, area: StoreArea, out: &mut Vec<Effect>) {
    let role = sync.role;
    let progress = area_mut(sync, area);
    if progress.is_reading {
        return;
    }
    let is_reader_heard = progress
        .shared_at
        .is_some_and(|at| now < at + SHARED_AGE_MAX);
    let is_watching = matches!(progress.stage, Stage::Watching { .. });
    if role == Role::Follower && is_watching && is_reader_heard {
        out.push(Effect::SetTimer {
            timer: Timer::Store(area),
            after: SHARED_CHECK,
        });
        return;
    }
    progress.is_reading = true;
    let is_proven = progress.failures_count == 0
        && progress.answered_at.is_some_and(|at| now < at + PROVEN_FOR);
    let read = match &progress.stage {
        Stage::Listing { after, .. } => StoreRead::List {
            area,
            after: after.clone(),
        },
        Stage::Watching { revision } => StoreRead::Watch {
            area,
            after_revision: *revision,
            wait: match role {
                _ if !is_proven => RECOVERY_WATCH_WAIT,
                Role::Reader => READER_WATCH_WAIT,
                Role::Alone | Role::Follower => WATCH_WAIT,
            },
        },
    };
    out.push(Effect::ReadStore(read));
}

/// What the reader of the zone has learned.
#[derive(Clone, Copy, Debug)]
pub struct Shared<'a> {
    /// The area.
    pub area: StoreArea,
    /// Revision after which the changes come.
    pub after_revision: u64,
    /// Revision up to which all changes are included.
    pub revision: u64,
    /// The changes in their order.
    pub records: &'a [Record],
}

/// Takes in what the reader of the zone has learned; returns the changes of the catalog.
///
/// Changes that do not follow on what is known here are left to an own read.
pub fn shared(
    sync: &mut Sync,
    catalog: &mut Catalog,
    now: Instant,
    shared: &Shared<'_>,
) -> Vec<Change> {
    let progress = area_mut(sync, shared.area);
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
    let records = shared.records.iter();
    records
        .filter_map(|record| apply(catalog, now, record))
        .collect()
}

/// The answer to a read of the store.
#[derive(Clone, Copy, Debug)]
pub struct Answered<'a> {
    /// The read.
    pub read: &'a StoreRead,
    /// Items of the page, or changes in their order.
    pub records: &'a [Record],
    /// Revision up to which all changes are included; of a page, that of the store.
    pub revision: u64,
    /// Whether the store may hold changes beyond that revision.
    pub is_behind: bool,
    /// Key after which the next page begins, if there is one.
    pub next_page: Option<&'a str>,
}

/// Takes in the answer to a read; returns the changes of the catalog.
pub fn answered(
    sync: &mut Sync,
    catalog: &mut Catalog,
    now: Instant,
    answer: &Answered<'_>,
    out: &mut Vec<Effect>,
) -> Vec<Change> {
    let area = answer.read.area();
    let progress = area_mut(sync, area);
    progress.is_reading = false;
    if progress.failures_count > 0 {
        catalog.lapses_until = Some(now + LAPSES_FOR);
    }
    progress.failures_count = 0;
    progress.answered_at = Some(now);
    // The zone's reader may have told more while this read was on its way.
    let known_revision = match (answer.read, &progress.stage) {
        (StoreRead::Watch { .. }, Stage::Watching { revision }) => *revision,
        _ => 0,
    };
    let mut changes: Vec<Change> = Vec::new();
    if answer.revision >= known_revision {
        let records = answer.records.iter();
        changes.extend(records.filter_map(|record| apply(catalog, now, record)));
    }
    let progress = area_mut(sync, area);
    progress.stage = match (answer.read, &progress.stage) {
        (StoreRead::Watch { .. }, _) => Stage::Watching {
            revision: answer.revision.max(known_revision),
        },
        (StoreRead::List { .. }, stage) => {
            progress
                .listed
                .extend(answer.records.iter().filter_map(listed_name));
            // Pages are read one after the other; changes between them come after the first one's
            // revision.
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
                    let listed = std::mem::take(&mut progress.listed);
                    progress.is_known = true;
                    remove_missing(catalog, now, area, &listed, &mut changes);
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
            after: TARGETS_GAP,
        });
    } else {
        due(sync, now, area, out);
    }
    changes
}

fn is_watching(sync: &Sync, area: StoreArea) -> bool {
    matches!(self::area(sync, area).stage, Stage::Watching { .. })
}

/// Takes in the failure of a read and schedules the next one.
pub fn failed(
    sync: &mut Sync,
    rng: &mut ChaCha8Rng,
    read: &StoreRead,
    failure: StoreFailure,
    out: &mut Vec<Effect>,
) {
    let area = read.area();
    let progress = area_mut(sync, area);
    progress.is_reading = false;
    if failure == StoreFailure::HistoryGone || matches!(read, StoreRead::List { .. }) {
        progress.stage = Stage::default();
        progress.listed.clear();
    }
    let doublings = progress.failures_count.min(RETRY_DOUBLINGS_MAX);
    progress.failures_count += 1;
    let delay = (RETRY_DELAY * 2_u32.pow(doublings)).min(RETRY_DELAY_MAX);
    out.push(Effect::SetTimer {
        timer: Timer::Store(area),
        after: delay.mul_f64(rng.random_range(0.5..1.0)),
    });
}

/// Returns the progress of an area.
pub fn area(sync: &Sync, area: StoreArea) -> &AreaSync {
    match area {
        StoreArea::Operators => &sync.operators,
        StoreArea::Targets => &sync.targets,
    }
}

fn area_mut(sync: &mut Sync, area: StoreArea) -> &mut AreaSync {
    match area {
        StoreArea::Operators => &mut sync.operators,
        StoreArea::Targets => &mut sync.targets,
    }
}

fn listed_name(record: &Record) -> Option<String> {
    match record {
        Record::Target {
            target_id,
            registration: Some(_),
        } => Some(target_id.clone()),
        Record::ZoneOut { zone, is_out: true } => Some(zone.clone()),
        _ => None,
    }
}

/// Takes back what a whole list does not name.
fn remove_missing(
    catalog: &mut Catalog,
    now: Instant,
    area: StoreArea,
    listed: &HashSet<String>,
    changes: &mut Vec<Change>,
) {
    match area {
        StoreArea::Targets => remove_unlisted(catalog, now, listed, changes),
        StoreArea::Operators => {
            let zones = catalog.zones_out.iter();
            let back: Vec<String> = zones
                .filter(|zone| !listed.contains(*zone))
                .cloned()
                .collect();
            for zone in back {
                let record = Record::ZoneOut {
                    zone,
                    is_out: false,
                };
                changes.extend(apply(catalog, now, &record));
            }
        }
    }
}
