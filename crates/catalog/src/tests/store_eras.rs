//! Tests of eras that come late, go back, jump or are stated once only.

use std::time::{Duration, Instant};

use model::{Effect, StoreArea, StoreFailure, StoreRead, StoreRecord, Timer};

use super::fixture::{fail_read, list, registration, removed, target, watch};
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
        sync: new_sync_state(),
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
        Effect::ReadStore(read) => Some(read),
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
