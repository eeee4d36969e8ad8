//! Tests of lists, watches and changes shared by the zone's reader.

use std::time::{Duration, Instant};

use model::{Effect, StoreArea, StoreFailure, StoreRead, StoreRecord, Timer};
use rstest::rstest;

use super::fixture::{
    WATCH_WAIT, apply_answer, configuration, fail_read, list, registration, removed, target, watch,
};
use crate::{
    Catalog, FailedRead, Role, SharedChanges, Stage, StoreAnswer, SyncState, new_sync_state,
    on_shared_changes, on_store_answer, start, start_next_read, watch_wait,
};

const TARGETS: StoreArea = StoreArea::Targets;

/// Returns a catalog with target `i-1` that watches the targets from revision 10.
fn watching_catalog(now: Instant) -> (SyncState, Catalog) {
    let (mut sync, mut catalog) = (new_sync_state(WATCH_WAIT), Catalog::default());
    start(&mut sync, now, &mut Vec::new());
    let records = [target("i-1", registration(80))];
    apply_answer(
        &mut sync,
        &mut catalog,
        now,
        &list(TARGETS, None),
        &records,
        10,
        None,
    );
    (sync, catalog)
}

fn stage(sync: &SyncState) -> &Stage {
    &sync.targets.stage
}

#[test]
fn watch_starts_at_revision_of_first_page() {
    let now = Instant::now();
    let (mut sync, mut catalog) = (new_sync_state(WATCH_WAIT), Catalog::default());
    let first = [target("i-1", registration(80))];
    apply_answer(
        &mut sync,
        &mut catalog,
        now,
        &list(TARGETS, None),
        &first,
        10,
        Some("servers/i-1"),
    );
    assert!(!sync.targets.is_known);
    let read = list(TARGETS, Some("servers/i-1"));
    let second = [target("i-2", registration(81))];
    apply_answer(&mut sync, &mut catalog, now, &read, &second, 14, None);
    assert!(sync.targets.is_known);
    assert_eq!(*stage(&sync), Stage::Watching { revision: 10 });
    assert_eq!(catalog.targets.len(), 2);
}

#[test]
fn list_removes_unlisted_targets_and_zones() {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    let failed = FailedRead {
        read: &watch(TARGETS, 10),
        failure: StoreFailure::Compacted,
        era: 0,
    };
    fail_read(&mut sync, &mut catalog, now, &failed, &mut Vec::new());
    assert_eq!(*stage(&sync), Stage::default());
    let records = [target("i-2", registration(81))];
    apply_answer(
        &mut sync,
        &mut catalog,
        now,
        &list(TARGETS, None),
        &records,
        40,
        None,
    );
    let removed = catalog.targets[catalog.target_ids["i-1"]].removed_since;
    assert_eq!(removed, Some(now));
    let zone = StoreRecord::ZoneOut {
        zone: "kranj".to_owned(),
        is_out: true,
    };
    let operators = list(StoreArea::Operators, None);
    apply_answer(&mut sync, &mut catalog, now, &operators, &[zone], 41, None);
    assert_eq!(catalog.zones_out.len(), 1);
    apply_answer(&mut sync, &mut catalog, now, &operators, &[], 42, None);
    assert_eq!(catalog.zones_out.len(), 0);
}

#[test]
fn retry_delay_grows_up_to_its_maximum() {
    let (mut sync, mut catalog) = (new_sync_state(WATCH_WAIT), Catalog::default());
    let mut delays = Vec::new();
    for _ in 0..8 {
        let mut out = Vec::new();
        let failed = FailedRead {
            read: &list(TARGETS, None),
            failure: StoreFailure::Refused,
            era: 0,
        };
        fail_read(&mut sync, &mut catalog, Instant::now(), &failed, &mut out);
        let [
            Effect::SetTimer {
                timer: Timer::Store(TARGETS),
                after,
            },
        ] = out[..]
        else {
            panic!("expected one timer, got {out:?}");
        };
        delays.push(after);
    }
    assert!(delays[0] <= Duration::from_millis(150));
    assert!(delays.iter().all(|&delay| delay <= Duration::from_secs(1)));
    assert!(delays[7] >= Duration::from_millis(500));
}

#[rstest]
#[case::contiguous(10, 12, Some(12))]
#[case::overlapping(8, 12, Some(12))]
#[case::gap(11, 12, None)]
#[case::older(8, 9, None)]
fn shared_changes_are_applied_only_without_gap(
    #[case] after_revision: u64,
    #[case] revision: u64,
    #[case] expected: Option<u64>,
) {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    let shared_changes = SharedChanges {
        area: TARGETS,
        era: 0,
        after_revision,
        revision,
        records: &[removed("i-1")],
    };
    let changes = on_shared_changes(
        &mut sync,
        &mut catalog,
        now,
        &shared_changes,
        &mut Vec::new(),
    );
    assert_eq!(changes.len(), usize::from(expected.is_some()));
    let revision = expected.unwrap_or(10);
    assert_eq!(*stage(&sync), Stage::Watching { revision });
    assert_eq!(sync.targets.shared_at.is_some(), expected.is_some());
}

#[test]
fn follower_reads_store_after_reader_falls_silent() {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    sync.role = Role::Follower;
    sync.targets.is_reading = false;
    let shared_changes = SharedChanges {
        area: TARGETS,
        era: 0,
        after_revision: 10,
        revision: 10,
        records: &[],
    };
    on_shared_changes(
        &mut sync,
        &mut catalog,
        now,
        &shared_changes,
        &mut Vec::new(),
    );
    let mut out = Vec::new();
    start_next_read(
        &mut sync,
        now + Duration::from_millis(500),
        TARGETS,
        &mut out,
    );
    assert!(matches!(out[..], [Effect::SetTimer { .. }]), "{out:?}");
    out.clear();
    start_next_read(
        &mut sync,
        now + Duration::from_millis(1_700),
        TARGETS,
        &mut out,
    );
    assert!(
        matches!(
            out[..],
            [Effect::ReadStore {
                read: StoreRead::Watch { .. },
                ..
            }]
        ),
        "{out:?}"
    );
}

#[test]
fn own_answer_older_than_shared_changes_is_ignored() {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    let shared_changes = SharedChanges {
        area: TARGETS,
        era: 0,
        after_revision: 10,
        revision: 15,
        records: &[target("i-2", registration(81))],
    };
    on_shared_changes(
        &mut sync,
        &mut catalog,
        now,
        &shared_changes,
        &mut Vec::new(),
    );
    let outdated = [removed("i-2")];
    let changes = apply_answer(
        &mut sync,
        &mut catalog,
        now,
        &watch(TARGETS, 10),
        &outdated,
        12,
        None,
    );
    assert_eq!(changes, []);
    assert_eq!(*stage(&sync), Stage::Watching { revision: 15 });
}

#[test]
fn at_most_one_read_per_area_is_in_flight() {
    let now = Instant::now();
    let mut sync = new_sync_state(WATCH_WAIT);
    let mut out = Vec::new();
    start(&mut sync, now, &mut out);
    start(&mut sync, now, &mut out);
    assert_eq!(out.len(), 2);
}

#[test]
fn unreadable_configuration_keeps_previous_one_in_force() {
    let now = Instant::now();
    let (mut sync, mut catalog) = (new_sync_state(WATCH_WAIT), Catalog::default());
    let operators = list(StoreArea::Operators, None);
    let records = [configuration(3, &["a"])];
    apply_answer(&mut sync, &mut catalog, now, &operators, &records, 5, None);
    let unreadable = StoreRecord::Unreadable {
        key: "configuration".to_owned(),
        reason: "cut short".to_owned(),
    };
    let read = watch(StoreArea::Operators, 5);
    let changes = apply_answer(&mut sync, &mut catalog, now, &read, &[unreadable], 6, None);
    assert_eq!(changes.len(), 1);
    assert_eq!((catalog.version, catalog.fronts.len()), (3, 1));
}

#[rstest]
#[case::complete(false, false)]
#[case::incomplete(true, true)]
fn incomplete_answer_is_followed_by_read_without_delay(
    #[case] is_behind: bool,
    #[case] reads_at_once: bool,
) {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    let read = watch(TARGETS, 10);
    let answer = StoreAnswer {
        read: &read,
        era: 0,
        records: &[target("i-2", registration(81))],
        revision: 12,
        is_behind,
        next_page: None,
    };
    let mut out = Vec::new();
    on_store_answer(&mut sync, &mut catalog, now, &answer, &mut out);
    let has_read = matches!(
        out[..],
        [Effect::ReadStore {
            read: StoreRead::Watch { .. },
            ..
        }]
    );
    assert_eq!(has_read, reads_at_once, "{out:?}");
}

#[test]
fn watch_is_short_after_failure_until_store_answers() {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    let read = watch(TARGETS, 10);
    let mut out = Vec::new();
    let failed = FailedRead {
        read: &read,
        failure: StoreFailure::Unreachable,
        era: 0,
    };
    fail_read(&mut sync, &mut catalog, now, &failed, &mut out);
    out.clear();
    start_next_read(&mut sync, now, TARGETS, &mut out);
    let wait_of = |out: &[Effect]| match out {
        [
            Effect::ReadStore {
                read: StoreRead::Watch { wait, .. },
                ..
            },
        ] => *wait,
        other => panic!("expected a watch, got {other:?}"),
    };
    // One second leaves a margin for a slow answer: changes must be known within three seconds
    // after the store is back.
    assert!(wait_of(&out) <= Duration::from_secs(1));
    out.clear();
    let answer = StoreAnswer {
        read: &read,
        era: 0,
        records: &[],
        revision: 10,
        is_behind: false,
        next_page: None,
    };
    on_store_answer(&mut sync, &mut catalog, now, &answer, &mut out);
    assert!(wait_of(&out) > Duration::from_secs(1));
}

/// Guards against watches that end too late, after which a dead connection keeps an old configuration
/// in use beyond the limits, and against more calls than the limits ask for.
#[rstest]
#[case::small(4_000, 3_000, 3_000)]
#[case::grown(5_000, 5_000, 4_000)]
#[case::large(6_000, 5_000, 5_000)]
#[case::wide(60_000, 60_000, 5_000)]
#[case::change_limit_is_longer(1_000, 4_000, 3_000)]
#[case::out_of_reach(200, 100, 500)]
fn watch_ends_as_late_as_the_limits_permit(
    #[case] contact_ms: u64,
    #[case] change_ms: u64,
    #[case] expected_ms: u64,
) {
    let [contact, change, expected] =
        [contact_ms, change_ms, expected_ms].map(Duration::from_millis);
    assert_eq!(watch_wait(contact, change), expected);
}

/// Guards against a store under load that answers every watch after the short time limit, so that no
/// watch succeeds.
#[test]
fn watch_after_a_timeout_gets_more_time() {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    let margin_of = |out: &[Effect]| match out {
        [
            Effect::ReadStore {
                read: StoreRead::Watch { wait, .. },
                timeout,
            },
        ] => *timeout - *wait,
        other => panic!("expected a watch, got {other:?}"),
    };
    let read = watch(TARGETS, 10);
    let answer = StoreAnswer {
        read: &read,
        era: 0,
        records: &[],
        revision: 10,
        is_behind: false,
        next_page: None,
    };
    let mut out = Vec::new();
    on_store_answer(&mut sync, &mut catalog, now, &answer, &mut out);
    let usual = margin_of(&out);
    let failed = FailedRead {
        read: &read,
        failure: StoreFailure::Unreachable,
        era: 0,
    };
    fail_read(&mut sync, &mut catalog, now, &failed, &mut Vec::new());
    out.clear();
    start_next_read(&mut sync, now, TARGETS, &mut out);
    assert!(margin_of(&out) > usual * 2);
}

#[test]
fn follower_starts_with_short_watch_when_reader_falls_silent() {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    sync.role = Role::Follower;
    sync.targets.is_reading = false;
    let shared_changes = SharedChanges {
        area: TARGETS,
        era: 0,
        after_revision: 10,
        revision: 10,
        records: &[],
    };
    let last_shared_at = now + Duration::from_secs(20);
    on_shared_changes(
        &mut sync,
        &mut catalog,
        last_shared_at,
        &shared_changes,
        &mut Vec::new(),
    );
    let silent_at = last_shared_at + Duration::from_secs(2);
    let mut out = Vec::new();
    start_next_read(&mut sync, silent_at, TARGETS, &mut out);
    let [Effect::ReadStore { read, .. }] = &out[..] else {
        panic!("expected a watch, got {out:?}");
    };
    let read = read.clone();
    // The fault that silenced the reader may also prevent the store from answering this watch
    // before it ends.
    let wait_of = |read: &StoreRead| match read {
        StoreRead::Watch { wait, .. } => *wait,
        StoreRead::List { .. } => panic!("expected a watch, got {read:?}"),
    };
    assert!(wait_of(&read) <= Duration::from_secs(1));
    let answer = StoreAnswer {
        read: &read,
        era: 0,
        records: &[],
        revision: 10,
        is_behind: false,
        next_page: None,
    };
    out.clear();
    let answered_at = silent_at + Duration::from_millis(500);
    on_store_answer(&mut sync, &mut catalog, answered_at, &answer, &mut out);
    let [Effect::ReadStore { read, .. }] = &out[..] else {
        panic!("expected a watch, got {out:?}");
    };
    assert!(wait_of(read) > Duration::from_secs(1));
}

/// Changes from before the known revision: those of an instance that has just listed the targets,
/// or whose reader had been behind.
#[rstest]
#[case::shared_by_the_reader(true)]
#[case::read_by_itself(false)]
fn repeated_changes_bring_back_no_target_that_has_left(#[case] is_shared: bool) {
    let now = Instant::now();
    let (mut sync, mut catalog) = watching_catalog(now);
    let records = [target("i-9", registration(89)), removed("i-9")];
    let changes = match is_shared {
        true => {
            let shared = SharedChanges {
                area: TARGETS,
                era: 0,
                after_revision: 6,
                revision: 12,
                records: &records,
            };
            on_shared_changes(&mut sync, &mut catalog, now, &shared, &mut Vec::new())
        }
        false => {
            let read = watch(TARGETS, 10);
            apply_answer(&mut sync, &mut catalog, now, &read, &records, 12, None)
        }
    };
    assert_eq!(changes, []);
    assert!(!catalog.target_ids.contains_key("i-9"));
}
