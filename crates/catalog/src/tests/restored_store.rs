//! Tests of a store that was restored from a copy: eras, and what is not taken back.

use std::time::{Duration, Instant};

use model::{Effect, Registration, StoreArea, StoreFailure, StoreRead, StoreRecord};
use rstest::rstest;

use super::fixture::{
    WATCH_WAIT, configuration, fail_read, list, registration, removed, target, watch,
};
use crate::{
    Catalog, Change, Eligibility, FailedRead, SharedChanges, Stage, StoreAnswer, SyncState,
    apply_due_zones, eligibility, is_earlier_era, mark_leaving, new_sync_state, on_shared_changes,
    on_store_answer, remove_expired_targets, start,
};

const TARGETS: StoreArea = StoreArea::Targets;
const OPERATORS: StoreArea = StoreArea::Operators;

/// An instance that has read the store of era 1 up to revision 100.
struct Replica {
    sync: SyncState,
    catalog: Catalog,
    now: Instant,
    out: Vec<Effect>,
}

fn read_of(mut read: StoreRead, era_of_read: u64) -> StoreRead {
    match &mut read {
        StoreRead::List { era, .. } | StoreRead::Watch { era, .. } => *era = era_of_read,
    }
    read
}

fn replica(targets: &[StoreRecord], operators: &[StoreRecord]) -> Replica {
    let mut replica = Replica {
        sync: new_sync_state(WATCH_WAIT),
        catalog: Catalog::default(),
        now: Instant::now(),
        out: Vec::new(),
    };
    start(&mut replica.sync, replica.now, &mut replica.out);
    answer(&mut replica, &list(TARGETS, None), 1, targets, 100);
    answer(&mut replica, &list(OPERATORS, None), 1, operators, 100);
    replica.now += Duration::from_secs(60);
    replica
}

/// Delivers a complete answer; one of an earlier era is refused, as the reducer does.
fn answer(
    replica: &mut Replica,
    read: &StoreRead,
    era: u64,
    records: &[StoreRecord],
    revision: u64,
) -> Vec<Change> {
    let answer = StoreAnswer {
        read,
        era,
        records,
        revision,
        is_behind: false,
        next_page: None,
    };
    deliver(replica, &answer)
}

fn deliver(replica: &mut Replica, answer: &StoreAnswer<'_>) -> Vec<Change> {
    if is_earlier_era(&replica.sync, answer) {
        let failed = FailedRead {
            read: answer.read,
            failure: StoreFailure::EarlierEra,
            era: answer.era,
        };
        let Replica {
            sync,
            catalog,
            now,
            out,
        } = replica;
        fail_read(sync, catalog, *now, &failed, out);
        return Vec::new();
    }
    let Replica {
        sync,
        catalog,
        now,
        out,
    } = replica;
    on_store_answer(sync, catalog, *now, answer, out)
}

fn share(replica: &mut Replica, era: u64, after_revision: u64, records: &[StoreRecord]) {
    let shared = SharedChanges {
        area: TARGETS,
        era,
        after_revision,
        revision: after_revision + 1,
        records,
    };
    let Replica {
        sync,
        catalog,
        now,
        out,
    } = replica;
    on_shared_changes(sync, catalog, *now, &shared, out);
}

/// Applies changes of the watch in era 1.
fn write(replica: &mut Replica, area: StoreArea, records: &[StoreRecord]) {
    answer(replica, &read_of(watch(area, 100), 1), 1, records, 110);
}

/// Restores the store: era 2, whose copy holds these items.
fn restore(replica: &mut Replica, area: StoreArea, copy: &[StoreRecord]) -> Vec<Change> {
    answer(replica, &read_of(watch(area, 110), 1), 2, &[], 104);
    answer(replica, &read_of(list(area, None), 2), 2, copy, 104)
}

fn state(replica: &Replica, id: &str) -> Eligibility {
    let key = replica.catalog.target_ids.get(id);
    key.map_or(Eligibility::Out, |&key| {
        eligibility(&replica.catalog, key, replica.now)
    })
}

fn wait(replica: &mut Replica, ms: u64) {
    replica.now += Duration::from_millis(ms);
    remove_expired_targets(&mut replica.catalog, replica.now);
    apply_due_zones(&mut replica.catalog, replica.now);
}

fn born(port: u16, born_ms: u64) -> Registration {
    Registration {
        born_ms,
        ..registration(port)
    }
}

fn zone(is_out: bool) -> StoreRecord {
    StoreRecord::ZoneOut {
        zone: "kranj".to_owned(),
        is_out,
    }
}

fn is_out(replica: &Replica) -> bool {
    replica.catalog.zones_out.contains("kranj")
}

/// The restored store accepts the watch, because its revision has passed ours again.
#[test]
fn watch_answer_of_a_later_era_starts_new_lists_of_both_areas() {
    let mut replica = replica(&[target("i-1", registration(80))], &[]);
    replica.out.clear();
    let records = [removed("i-1")];
    let read = read_of(watch(TARGETS, 100), 1);
    assert_eq!(answer(&mut replica, &read, 2, &records, 130), []);
    assert_eq!(state(&replica, "i-1"), Eligibility::Ready);
    let lists = replica.out.iter().filter(|effect| {
        matches!(
            effect,
            Effect::ReadStore {
                read: StoreRead::List {
                    era: 2,
                    after: None,
                    ..
                },
                ..
            }
        )
    });
    assert_eq!(lists.count(), 2, "{:?}", replica.out);
}

#[test]
fn refusal_of_a_later_era_starts_new_lists() {
    let mut replica = replica(&[target("i-1", registration(80))], &[]);
    let read = read_of(watch(TARGETS, 100), 1);
    let failed = FailedRead {
        read: &read,
        failure: StoreFailure::Compacted,
        era: 2,
    };
    let Replica {
        sync,
        catalog,
        now,
        out,
    } = &mut replica;
    fail_read(sync, catalog, *now, &failed, out);
    assert!(sync.operators.is_restoring && sync.targets.is_restoring);
}

/// An answer to a watch that was in flight when a reader told of the new era.
#[rstest]
#[case::earlier_era(1)]
#[case::new_era(2)]
fn answer_to_a_replaced_watch_is_ignored(#[case] era: u64) {
    let mut replica = replica(&[target("i-1", registration(80))], &[]);
    share(&mut replica, 2, 50, &[]);
    let read = read_of(watch(TARGETS, 100), 1);
    assert_eq!(answer(&mut replica, &read, era, &[removed("i-1")], 101), []);
    assert_eq!(replica.sync.targets.stage, Stage::default());
    assert!(replica.sync.targets.is_reading, "the list is in flight");
    assert_eq!(replica.sync.targets.failures_count, 0);
}

#[test]
fn list_with_pages_of_two_eras_starts_again() {
    let mut replica = replica(&[target("i-1", registration(80))], &[]);
    let read = read_of(watch(TARGETS, 100), 1);
    answer(&mut replica, &read, 2, &[], 104);
    let first = [
        target("i-1", registration(80)),
        target("i-2", registration(81)),
    ];
    let read = read_of(list(TARGETS, None), 2);
    let page = StoreAnswer {
        read: &read,
        era: 2,
        records: &first,
        revision: 104,
        is_behind: false,
        next_page: Some("i-2"),
    };
    deliver(&mut replica, &page);
    let read = read_of(list(TARGETS, Some("i-2")), 2);
    answer(&mut replica, &read, 3, &[], 103);
    assert_eq!(replica.sync.targets.stage, Stage::default());
    assert_eq!(replica.sync.targets.era, 3);
    let read = read_of(list(TARGETS, None), 3);
    answer(&mut replica, &read, 3, &first[..1], 103);
    assert_eq!(state(&replica, "i-2"), Eligibility::Leaving);
}

#[rstest]
#[case::earlier(1)]
#[case::not_stated(0)]
fn answers_and_shared_changes_of_an_earlier_era_are_ignored(#[case] era: u64) {
    let mut replica = replica(&[target("i-1", registration(80))], &[]);
    restore(&mut replica, TARGETS, &[target("i-1", registration(80))]);
    let read = read_of(watch(TARGETS, 104), 2);
    answer(&mut replica, &read, era, &[removed("i-1")], 106);
    share(&mut replica, era, 104, &[removed("i-1")]);
    assert_eq!(state(&replica, "i-1"), Eligibility::Ready);
    assert_eq!(
        replica.sync.targets.stage,
        Stage::Watching { revision: 104 }
    );
    assert_eq!(replica.sync.targets.failures_count, 1);
}

#[test]
fn shared_changes_of_a_later_era_are_not_applied_but_start_new_lists() {
    let mut replica = replica(&[target("i-1", registration(80))], &[]);
    share(&mut replica, 2, 100, &[removed("i-1")]);
    assert_eq!(state(&replica, "i-1"), Eligibility::Ready);
    assert_eq!(replica.sync.operators.stage, Stage::default());
    assert_eq!(replica.sync.targets.shared_at, None);
}

/// A store that states its era from the first answer on has not been restored.
#[test]
fn first_era_is_no_restore_and_repeats_no_list() {
    let replica = replica(&[target("i-1", registration(80))], &[]);
    let reads = replica.out.iter();
    let lists = reads.filter(|e| {
        matches!(
            e,
            Effect::ReadStore {
                read: StoreRead::List { .. },
                ..
            }
        )
    });
    assert_eq!(lists.count(), 2);
    assert_eq!(
        (replica.sync.operators.era, replica.sync.targets.era),
        (1, 1)
    );
    assert!(!replica.sync.targets.is_restoring);
}

#[rstest]
#[case::older(configuration(5, &["a"]))]
#[case::equal(configuration(7, &["a"]))]
#[case::unreadable(StoreRecord::Unreadable { key: "c".to_owned(), reason: "cut".to_owned() })]
fn configuration_in_force_is_kept(#[case] copy: StoreRecord) {
    let mut replica = replica(&[], &[configuration(7, &["a", "b"])]);
    restore(&mut replica, OPERATORS, &[copy]);
    assert_eq!(replica.catalog.version, 7);
    assert_eq!(replica.catalog.services.len(), 2);
}

#[test]
fn target_that_the_copy_lacks_stays_for_the_time_after_an_outage() {
    let mut replica = replica(&[target("i-1", registration(80))], &[]);
    restore(&mut replica, TARGETS, &[]);
    wait(&mut replica, 2_100);
    assert_eq!(state(&replica, "i-1"), Eligibility::Leaving);
    wait(&mut replica, 200);
    assert!(replica.catalog.targets.is_empty());
    let read = read_of(watch(TARGETS, 104), 2);
    answer(
        &mut replica,
        &read,
        2,
        &[target("i-1", registration(80))],
        105,
    );
    assert_eq!(
        state(&replica, "i-1"),
        Eligibility::Ready,
        "its process lives"
    );
}

/// Its removal is lost, whether its grace period is over or not.
#[rstest]
#[case::still_in_grace_period(0)]
#[case::forgotten_by_the_catalog(1_000)]
fn target_that_had_left_is_used_only_if_it_is_another_process(
    #[case] after_ms: u64,
    #[values(false, true)] is_listed_again: bool,
) {
    let copy = [target("i-1", born(80, 7))];
    let mut replica = replica(&copy, &[]);
    write(&mut replica, TARGETS, &[removed("i-1")]);
    wait(&mut replica, after_ms);
    restore(&mut replica, TARGETS, &copy);
    if is_listed_again {
        // The store loses its history after the restore; the copy still holds the registration.
        let read = read_of(watch(TARGETS, 104), 2);
        let failed = FailedRead {
            read: &read,
            failure: StoreFailure::Compacted,
            era: 2,
        };
        let Replica {
            sync,
            catalog,
            now,
            out,
        } = &mut replica;
        fail_read(sync, catalog, *now, &failed, out);
        answer(
            &mut replica,
            &read_of(list(TARGETS, None), 2),
            2,
            &copy,
            104,
        );
    }
    assert!(state(&replica, "i-1") >= Eligibility::Leaving);
    wait(&mut replica, 1_000);
    assert_eq!(state(&replica, "i-1"), Eligibility::Out);
    let read = read_of(watch(TARGETS, 104), 2);
    answer(&mut replica, &read, 2, &[target("i-1", born(80, 7))], 105);
    assert_eq!(state(&replica, "i-1"), Eligibility::Ready, "written again");
}

/// It was written again before a second restore, and nothing has said that its process left.
#[test]
fn target_that_only_the_copy_lacked_has_not_left() {
    let mut draining = born(80, 7);
    draining.is_draining = true;
    let listed = [target("i-1", draining)];
    let mut replica = replica(&listed, &[]);
    restore(&mut replica, TARGETS, &[]);
    wait(&mut replica, 1_000);
    assert!(replica.catalog.targets.is_empty());
    let read = read_of(watch(TARGETS, 104), 2);
    answer(&mut replica, &read, 3, &[], 105);
    let read = read_of(list(TARGETS, None), 3);
    answer(&mut replica, &read, 3, &listed, 105);
    assert_eq!(replica.catalog.targets.len(), 1);
}

#[test]
fn another_process_in_the_copy_is_used() {
    let mut replica = replica(&[target("i-1", born(80, 7))], &[]);
    write(&mut replica, TARGETS, &[removed("i-1")]);
    wait(&mut replica, 1_000);
    restore(&mut replica, TARGETS, &[target("i-1", born(80, 8))]);
    assert_eq!(state(&replica, "i-1"), Eligibility::Ready);
}

#[rstest]
#[case::by_its_registration(true)]
#[case::by_its_own_word(false)]
fn target_that_drains_goes_on_draining(#[case] is_written: bool) {
    let mut replica = replica(&[target("i-1", born(80, 7))], &[]);
    if is_written {
        let mut draining = born(80, 7);
        draining.is_draining = true;
        write(&mut replica, TARGETS, &[target("i-1", draining)]);
    } else {
        let key = replica.catalog.target_ids["i-1"];
        mark_leaving(&mut replica.catalog, replica.now, key);
    }
    restore(&mut replica, TARGETS, &[target("i-1", born(80, 7))]);
    assert_eq!(state(&replica, "i-1"), Eligibility::Leaving);
    wait(&mut replica, 1_000);
    assert_eq!(state(&replica, "i-1"), Eligibility::Out);
}

/// The copy holds the process before the restart, whose identifier or address the next one has.
#[rstest]
#[case::same_identifier("i-1", 7)]
#[case::same_address("i-2", 7)]
fn process_before_a_restart_replaces_no_later_one(#[case] id: &str, #[case] born_ms: u64) {
    let mut replica = replica(&[target("i-1", born(80, 9))], &[]);
    let changes = restore(&mut replica, TARGETS, &[target(id, born(80, born_ms))]);
    let held = Change::TargetHeldBack {
        target_id: id.to_owned(),
    };
    assert!(changes.contains(&held), "{changes:?}");
    assert_eq!(replica.catalog.targets.len(), 1);
    let known = replica.catalog.targets.values().next().expect("a target");
    assert_eq!(known.started_at_ms, 9);
}

#[test]
fn evacuation_that_the_copy_lacks_is_kept_for_five_seconds() {
    let mut replica = replica(&[], &[zone(true)]);
    restore(&mut replica, OPERATORS, &[]);
    wait(&mut replica, 4_900);
    assert!(is_out(&replica));
    wait(&mut replica, 200);
    assert!(!is_out(&replica));
}

#[rstest]
#[case::written_again(true)]
#[case::taken_back(false)]
fn change_ends_the_hold_of_an_evacuation(#[case] is_out_after: bool) {
    let mut replica = replica(&[], &[zone(true)]);
    restore(&mut replica, OPERATORS, &[]);
    let read = read_of(watch(OPERATORS, 104), 2);
    answer(&mut replica, &read, 2, &[zone(is_out_after)], 105);
    assert_eq!(is_out(&replica), is_out_after);
    wait(&mut replica, 6_000);
    assert_eq!(is_out(&replica), is_out_after);
}

#[test]
fn evacuation_that_had_been_taken_back_is_not_brought_back_at_once() {
    let mut replica = replica(&[], &[zone(true)]);
    write(&mut replica, OPERATORS, &[zone(false)]);
    restore(&mut replica, OPERATORS, &[zone(true)]);
    assert!(!is_out(&replica));
    wait(&mut replica, 2_900);
    assert!(!is_out(&replica));
    wait(&mut replica, 200);
    assert!(is_out(&replica), "nobody took it back again");
}

/// An instance that was cut off before the restore has not seen the evacuation begin.
#[test]
fn evacuation_that_was_never_known_takes_effect_at_once() {
    let mut replica = replica(&[], &[]);
    restore(&mut replica, OPERATORS, &[zone(true)]);
    assert!(is_out(&replica));
}
