//! The catalog after any course of lists, watches, cuts and words of a reader, against one that is
//! built anew from the store's content.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use model::{Record, Registration, StoreArea, StoreFailure, StoreRead};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::fixture::{feed, registration, removed, target, watch};
use crate::{Catalog, Role, Shared, Stage, Sync, expire, failed, open, shared};

const TARGETS: StoreArea = StoreArea::Targets;
/// Items of a page, so that most lists have several.
const PAGE_COUNT: usize = 2;

/// One step of a course.
#[derive(Clone, Debug)]
enum Step {
    /// A target writes its registration.
    Write { id: u8, port: u8, is_draining: bool },
    /// A registration is removed.
    Remove { id: u8 },
    /// The read that is due is answered, with at most so many of the changes.
    Answer { changes_count: u8 },
    /// The read that is due fails.
    Fail,
    /// The history is gone.
    Forget,
    /// A reader tells the changes from an older revision on.
    Share { back_count: u8 },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..5_u8, 0..3_u8, any::<bool>())
            .prop_map(|(id, port, is_draining)| Step::Write { id, port, is_draining }),
        2 => (0..5_u8).prop_map(|id| Step::Remove { id }),
        5 => (1..6_u8).prop_map(|changes_count| Step::Answer { changes_count }),
        1 => Just(Step::Fail),
        1 => Just(Step::Forget),
        2 => (0..4_u8).prop_map(|back_count| Step::Share { back_count }),
    ]
}

/// The store as it really is.
#[derive(Default)]
struct Truth {
    items: BTreeMap<String, Registration>,
    changes: Vec<Record>,
}

impl Truth {
    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn after(&self, revision: u64) -> &[Record] {
        &self.changes[revision as usize..]
    }
}

fn apply_to_truth(truth: &mut Truth, step: &Step) {
    match *step {
        Step::Write {
            id,
            port,
            is_draining,
        } => {
            let mut written = registration(u16::from(port) + 80);
            written.is_draining = is_draining;
            let id = format!("i-{id}");
            truth.items.insert(id.clone(), written.clone());
            truth.changes.push(target(&id, written));
        }
        Step::Remove { id } => {
            let id = format!("i-{id}");
            if truth.items.remove(&id).is_some() {
                truth.changes.push(removed(&id));
            }
        }
        _ => {}
    }
}

/// Answers the read that is due.
fn answer(
    truth: &Truth,
    sync: &mut Sync,
    catalog: &mut Catalog,
    now: Instant,
    changes_count: usize,
) {
    match sync.targets.stage.clone() {
        Stage::Watching { revision } => {
            let changes = truth.after(revision);
            let changes = &changes[..changes.len().min(changes_count)];
            let upto = revision + changes.len() as u64;
            feed(
                sync,
                catalog,
                now,
                &watch(TARGETS, revision),
                changes,
                upto,
                None,
            );
        }
        Stage::Listing { after, .. } => {
            let from = after.clone().unwrap_or_default();
            let mut items = truth.items.iter().filter(|(id, _)| **id > from);
            let page: Vec<Record> = items
                .by_ref()
                .take(PAGE_COUNT)
                .map(|(id, registration)| target(id, registration.clone()))
                .collect();
            let next = items.next().is_some().then(|| match page.last() {
                Some(Record::Target { target_id, .. }) => target_id.clone(),
                _ => String::new(),
            });
            let read = StoreRead::List {
                area: TARGETS,
                after,
            };
            feed(
                sync,
                catalog,
                now,
                &read,
                &page,
                truth.revision(),
                next.as_deref(),
            );
        }
    }
}

/// What matters of a catalog: each target's registration as it was understood.
fn shown(catalog: &Catalog) -> BTreeMap<String, (u16, bool)> {
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
    fn the_catalog_equals_one_that_is_built_anew(steps in vec(any_step(), 1..60)) {
        let start = Instant::now();
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let (mut sync, mut catalog) = (open(), Catalog::default());
        sync.role = Role::Follower;
        let mut truth = Truth::default();
        for (index, step) in steps.iter().enumerate() {
            let now = start + Duration::from_millis(100 * index as u64);
            apply_to_truth(&mut truth, step);
            let stage = sync.targets.stage.clone();
            match *step {
                Step::Answer { changes_count } => {
                    answer(&truth, &mut sync, &mut catalog, now, changes_count.into());
                }
                Step::Fail | Step::Forget => {
                    let read = match stage {
                        Stage::Watching { revision } => watch(TARGETS, revision),
                        Stage::Listing { after, .. } => StoreRead::List { area: TARGETS, after },
                    };
                    let failure = match step {
                        Step::Forget => StoreFailure::HistoryGone,
                        _ => StoreFailure::Unreachable,
                    };
                    failed(&mut sync, &mut rng, &read, failure, &mut Vec::new());
                }
                Step::Share { back_count } => {
                    let after_revision = truth.revision().saturating_sub(back_count.into());
                    let told = Shared {
                        area: TARGETS,
                        after_revision,
                        revision: truth.revision(),
                        records: truth.after(after_revision),
                    };
                    shared(&mut sync, &mut catalog, now, &told);
                }
                Step::Write { .. } | Step::Remove { .. } => {}
            }
        }
        let end = start + Duration::from_secs(20);
        for _ in 0..20 {
            answer(&truth, &mut sync, &mut catalog, end, usize::MAX);
        }
        expire(&mut catalog, end + Duration::from_secs(5));
        let expected: BTreeMap<String, (u16, bool)> = truth
            .items
            .iter()
            .map(|(id, r)| (id.clone(), (r.address.port(), r.is_draining)))
            .collect();
        prop_assert_eq!(shown(&catalog), expected);
        prop_assert_eq!(catalog.targets.len(), truth.items.len());
    }
}
