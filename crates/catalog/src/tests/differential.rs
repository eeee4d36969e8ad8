//! Property test: after any sequence of lists, watches, failures and changes shared by a reader,
//! the catalog equals the content of the store.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{Registration, StoreArea, StoreFailure, StoreRead, StoreRecord};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fixture::{WATCH_WAIT, apply_answer, fail_read, registration, removed, target, watch};
use crate::{
    Catalog, FailedRead, Role, SharedChanges, Stage, SyncState, new_sync_state, on_shared_changes,
    remove_expired_targets,
};

const TARGETS: StoreArea = StoreArea::Targets;
/// Items per page; small so that most lists have several pages.
const PAGE_ITEMS_COUNT: usize = 2;

/// One step of a generated sequence.
#[derive(Clone, Debug)]
enum Step {
    /// A target creates or replaces its registration.
    Write { id: u8, port: u8, is_draining: bool },
    /// A registration is removed.
    Remove { id: u8 },
    /// The store answers the read in flight; a watch returns at most `changes_count` changes.
    Answer { changes_count: u8 },
    /// The read in flight fails because the store is unreachable.
    Fail,
    /// The read in flight fails because the store has compacted its history.
    Compact,
    /// A reader shares the last `back_count` changes.
    Share { back_count: u8 },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..5_u8, 0..3_u8, any::<bool>())
            .prop_map(|(id, port, is_draining)| Step::Write { id, port, is_draining }),
        2 => (0..5_u8).prop_map(|id| Step::Remove { id }),
        5 => (1..6_u8).prop_map(|changes_count| Step::Answer { changes_count }),
        1 => Just(Step::Fail),
        1 => Just(Step::Compact),
        2 => (0..4_u8).prop_map(|back_count| Step::Share { back_count }),
    ]
}

/// Reference model of the store; the revision is the number of changes.
#[derive(Default)]
struct ReferenceStore {
    items: BTreeMap<String, Registration>,
    changes: Vec<StoreRecord>,
}

impl ReferenceStore {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn changes_after(&self, revision: u64) -> &[StoreRecord] {
        &self.changes[revision as usize..]
    }
}

fn apply_to_store(store: &mut ReferenceStore, step: &Step) {
    match *step {
        Step::Write {
            id,
            port,
            is_draining,
        } => {
            let mut written = registration(u16::from(port) + 80);
            written.is_draining = is_draining;
            let id = format!("i-{id}");
            store.items.insert(id.clone(), written.clone());
            store.changes.push(target(&id, written));
        }
        Step::Remove { id } => {
            let id = format!("i-{id}");
            if store.items.remove(&id).is_some() {
                store.changes.push(removed(&id));
            }
        }
        _ => {}
    }
}

/// Answers the read in flight from the content of the store.
fn answer_read(
    store: &ReferenceStore,
    sync: &mut SyncState,
    catalog: &mut Catalog,
    now: Instant,
    changes_count: usize,
) {
    match sync.targets.stage.clone() {
        Stage::Watching { revision } => {
            let changes = store.changes_after(revision);
            let changes = &changes[..changes.len().min(changes_count)];
            let up_to_revision = revision + changes.len() as u64;
            apply_answer(
                sync,
                catalog,
                now,
                &watch(TARGETS, revision),
                changes,
                up_to_revision,
                None,
            );
        }
        Stage::Listing { after, .. } => {
            let from = after.clone().unwrap_or_default();
            let mut items = store.items.iter().filter(|(id, _)| **id > from);
            let page: Vec<StoreRecord> = items
                .by_ref()
                .take(PAGE_ITEMS_COUNT)
                .map(|(id, registration)| target(id, registration.clone()))
                .collect();
            let next = items.next().is_some().then(|| match page.last() {
                Some(StoreRecord::Target { target_id, .. }) => target_id.clone(),
                _ => String::new(),
            });
            let read = StoreRead::List {
                area: TARGETS,
                era: 0,
                after,
            };
            apply_answer(
                sync,
                catalog,
                now,
                &read,
                &page,
                store.revision(),
                next.as_deref(),
            );
        }
    }
}

/// Returns the port and draining state of every target that is not marked as removed.
fn registered_targets(catalog: &Catalog) -> BTreeMap<String, (u16, bool)> {
    let targets = catalog.targets.values();
    targets
        .filter(|target| target.removed_since.is_none())
        .map(|target| {
            let port = target.address.port();
            (
                target.id.to_string(),
                (port, target.draining_since.is_some()),
            )
        })
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn catalog_converges_to_store_content(steps in vec(any_step(), 1..60)) {
        let start = Instant::now();
        let (mut sync, mut catalog) = (new_sync_state(WATCH_WAIT), Catalog::default());
        sync.role = Role::Follower;
        let mut store = ReferenceStore::default();
        for (index, step) in steps.iter().enumerate() {
            let now = start + Duration::from_millis(100 * index as u64);
            apply_to_store(&mut store, step);
            let stage = sync.targets.stage.clone();
            match *step {
                Step::Answer { changes_count } => {
                    answer_read(&store, &mut sync, &mut catalog, now, changes_count.into());
                }
                Step::Fail | Step::Compact => {
                    let read = match stage {
                        Stage::Watching { revision } => watch(TARGETS, revision),
                        Stage::Listing { after, .. } => StoreRead::List { area: TARGETS, era: 0, after },
                    };
                    let failure = match step {
                        Step::Compact => StoreFailure::Compacted,
                        _ => StoreFailure::Unreachable,
                    };
                    let failed = FailedRead { read: &read, failure, era: 0 };
                    fail_read(&mut sync, &mut catalog, now, &failed, &mut Vec::new());
                }
                Step::Share { back_count } => {
                    let after_revision = store.revision().saturating_sub(back_count.into());
                    let shared_changes = SharedChanges {
                        area: TARGETS, era: 0,
                        after_revision,
                        revision: store.revision(),
                        records: store.changes_after(after_revision),
                    };
                    on_shared_changes(&mut sync, &mut catalog, now, &shared_changes, &mut Vec::new());
                }
                Step::Write { .. } | Step::Remove { .. } => {}
            }
        }
        let end = start + Duration::from_secs(20);
        for _ in 0..20 {
            answer_read(&store, &mut sync, &mut catalog, end, usize::MAX);
        }
        remove_expired_targets(&mut catalog, end + Duration::from_secs(5));
        let expected: BTreeMap<String, (u16, bool)> = store
            .items
            .iter()
            .map(|(id, r)| (id.clone(), (r.address.port(), r.is_draining)))
            .collect();
        prop_assert_eq!(registered_targets(&catalog), expected);
        prop_assert_eq!(catalog.targets.len(), store.items.len());
    }
}
