//! Tests of eras that come late, go back, jump or are stated once only.

use std::time::{Duration, Instant};

use model::{Effect, StoreArea, StoreFailure, StoreRead, StoreRecord, Timer};
use rstest::rstest;

use super::fixture::{WATCH_WAIT, fail_read, list, registration, removed, target, watch};
use crate::{
    Catalog, FailedRead, SharedChanges, Stage, StoreAnswer, SyncState, is_earlier_era,
    new_sync_state, on_shared_changes, on_store_answer, start, start_next_read,
};

const TARGETS: StoreArea = StoreArea::Targets;
const OPERATORS: StoreArea = StoreArea::Operators;

struct Replica {
    sync: SyncState,
    catalog: Catalog,
    now: Instant,
    out: Vec<Effect>,
}

/// Returns an instance that has read the store of era 1 up to revision 100.
fn replica() -> Replica {
    let mut replica = Replica {
        sync: new_sync_state(WATCH_WAIT),
        catalog: Catalog::default(),
        now: Instant::now(),
        out: Vec::new(),
    };
    start(&mut replica.sync, replica.now, &mut replica.out);
    let targets = [target("i-1", registration(80))];
    answer(&mut replica, &list(TARGETS, None), 1, &targets, 100);
    answer(&mut replica, &list(OPERATORS, None), 1, &[], 100);
    run_timer(&mut replica, TARGETS);
    replica
}

fn read_of(mut read: StoreRead, era_of_read: u64) -> StoreRead {
    match &mut read {
        StoreRead::List { era, .. } | StoreRead::Watch { era, .. } => *era = era_of_read,
    }
    read
}

/// Delivers a complete answer; one of an earlier era is refused, as the reducer does.
fn answer(
    replica: &mut Replica,
    read: &StoreRead,
    era: u64,
    records: &[StoreRecord],
    revision: u64,
) {
    let answer = StoreAnswer {
        read,
        era,
        records,
        revision,
        is_behind: false,
        next_page: None,
    };
    let Replica {
        sync,
        catalog,
        now,
        out,
    } = replica;
    if is_earlier_era(sync, &answer) {
        let failure = StoreFailure::EarlierEra;
        return fail_read(sync, catalog, *now, &FailedRead { read, failure, era }, out);
    }
    on_store_answer(sync, catalog, *now, &answer, out);
}

fn share(replica: &mut Replica, era: u64, after_revision: u64) {
    let shared = SharedChanges {
        area: TARGETS,
        era,
        after_revision,
        revision: after_revision,
        records: &[],
    };
    let Replica {
        sync,
        catalog,
        now,
        out,
    } = replica;
    on_shared_changes(sync, catalog, *now, &shared, out);
}

/// Lets the timer of an area end.
fn run_timer(replica: &mut Replica, area: StoreArea) {
    replica.now += Duration::from_secs(1);
    replica.out.clear();
    start_next_read(&mut replica.sync, replica.now, area, &mut replica.out);
}

fn reads(replica: &Replica) -> Vec<&StoreRead> {
    let reads = replica.out.iter().filter_map(|effect| match effect {
        Effect::ReadStore { read, .. } => Some(read),
        _ => None,
    });
    reads.collect()
}

/// Marked as a read in flight, the late answer would keep the area from being read ever again.
#[test]
fn late_answer_to_a_replaced_watch_does_not_end_the_reading_of_its_area() {
    let mut replica = replica();
    share(&mut replica, 2, 50);
    let targets = [target("i-1", registration(80))];
    let read = read_of(list(TARGETS, None), 2);
    answer(&mut replica, &read, 2, &targets, 104);
    let is_timer =
        |e: &Effect| matches!(e, Effect::SetTimer { timer, .. } if *timer == Timer::Store(TARGETS));
    assert!(replica.out.iter().any(is_timer), "{:?}", replica.out);
    let read = read_of(watch(TARGETS, 100), 1);
    answer(&mut replica, &read, 2, &[removed("i-1")], 105);
    run_timer(&mut replica, TARGETS);
    assert_eq!(reads(&replica).len(), 1, "{:?}", replica.out);
}

/// Answers what the instance reads of an area for a time, in steps of 100 ms.
fn answer_for(replica: &mut Replica, ms: u64, era: u64) {
    let targets = [
        target("i-1", registration(80)),
        target("i-2", registration(81)),
    ];
    for _ in 0..ms / 100 {
        replica.now += Duration::from_millis(100);
        start(&mut replica.sync, replica.now, &mut replica.out);
        let reads: Vec<StoreRead> = reads(replica).into_iter().cloned().collect();
        replica.out.clear();
        for read in reads {
            let records = match read.area() {
                StoreArea::Targets => &targets[..],
                StoreArea::Operators => &[],
            };
            answer(replica, &read, era, records, 105);
        }
    }
}

/// Ignored for good, the store would not be followed again until it is restored often enough.
#[rstest]
#[case::goes_back(4)]
#[case::is_not_stated_any_more(0)]
fn store_is_followed_again_when_its_era_stays_earlier(
    #[case] era: u64,
    #[values(false, true)] is_shared: bool,
) {
    let mut replica = replica();
    match is_shared {
        true => share(&mut replica, 1 << 62, 50),
        false => {
            let watch = read_of(watch(TARGETS, 100), 1);
            answer(&mut replica, &watch, 1 << 62, &[], 104);
        }
    }
    answer_for(&mut replica, 2_500, era);
    assert_eq!(replica.catalog.targets.len(), 1, "not yet followed");
    answer_for(&mut replica, 2_000, era);
    assert_eq!(replica.catalog.targets.len(), 2);
    let stages = [&replica.sync.targets.stage, &replica.sync.operators.stage];
    assert_eq!(stages, [&Stage::Watching { revision: 105 }; 2]);
    // One bad peer may go on to state it.
    share(&mut replica, (1 << 62) + 1, 50);
    assert_eq!(replica.sync.targets.era, era);
    let read = read_of(watch(TARGETS, 105), era);
    answer(&mut replica, &read, 7, &[], 106);
    assert_eq!(replica.sync.targets.era, 7, "a later restore counts");
}

/// It would mark the list in flight as ended, and two reads would go on side by side.
#[test]
fn answer_to_a_watch_from_before_an_era_that_was_given_up_is_ignored() {
    let mut replica = replica();
    let old = replica.out.iter().find_map(|effect| match effect {
        Effect::ReadStore { read, .. } => Some(read.clone()),
        _ => None,
    });
    let old = old.expect("a watch is in flight");
    replica.out.clear();
    share(&mut replica, 9, 50);
    answer_for(&mut replica, 4_500, 1);
    assert_eq!(replica.sync.targets.era, 1);
    replica.out.clear();
    start(&mut replica.sync, replica.now, &mut replica.out);
    assert!(replica.sync.targets.is_reading);
    replica.out.clear();
    answer(&mut replica, &old, 1, &[removed("i-1")], 106);
    assert_eq!(reads(&replica).len(), 0);
    assert!(replica.sync.targets.is_reading);
}

/// A later page of the list held a later state of the target than these changes do.
#[test]
fn shared_changes_up_to_the_known_revision_take_nothing_back() {
    let mut replica = replica();
    let mut draining = registration(80);
    draining.is_draining = true;
    let read = read_of(list(TARGETS, None), 1);
    answer(&mut replica, &read, 1, &[target("i-1", draining)], 100);
    let records = [target("i-1", registration(80))];
    let shared = SharedChanges {
        area: TARGETS,
        era: 1,
        after_revision: 98,
        revision: 100,
        records: &records,
    };
    let (sync, catalog) = (&mut replica.sync, &mut replica.catalog);
    let changes = on_shared_changes(sync, catalog, replica.now, &shared, &mut replica.out);
    assert_eq!(changes, []);
    assert_eq!(replica.sync.targets.shared_at, Some(replica.now));
}
/// Without a bound, each list would be replaced by the next one as fast as the store answers.
#[test]
fn era_that_rises_with_each_answer_causes_few_reads() {
    let mut replica = replica();
    let mut era = 2;
    let watch = read_of(watch(TARGETS, 100), 1);
    replica.out.clear();
    answer(&mut replica, &watch, era, &[], 104);
    let mut reads_count = 0;
    for _ in 0..20 {
        let pending: Vec<StoreRead> = reads(&replica).into_iter().cloned().collect();
        reads_count += pending.len();
        replica.out.clear();
        replica.now += Duration::from_millis(1);
        for read in pending {
            // A watch lasts until a change.
            if matches!(read, StoreRead::List { .. }) {
                era += 1;
                answer(&mut replica, &read, era, &[], 104);
            }
        }
    }
    assert!(reads_count <= 4, "{reads_count}");
}
