//! Property test: after any interleaving of lists, watches, late answers, shared changes, refusals
//! and restores, the catalog equals the store, once what a restore lost has been written again; and
//! it never goes back meanwhile.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use model::{Effect, StoreArea, StoreFailure, StoreRead, StoreRecord};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

use super::fixture::{WATCH_WAIT, configuration, fail_read, registration, removed, target};
use crate::{
    Catalog, Eligibility, FailedRead, SharedChanges, StoreAnswer, SyncState, apply_due_zones,
    eligibility, is_earlier_era, new_sync_state, on_shared_changes, on_store_answer,
    remove_expired_targets, start,
};

/// Items per page of the targets; small so that lists have several pages.
const PAGE_ITEMS_COUNT: usize = 2;

#[derive(Clone, Debug)]
enum Step {
    /// A target registers, or drains; after it was removed, under another start time.
    Write {
        id: u8,
        is_draining: bool,
    },
    Remove {
        id: u8,
    },
    Publish,
    Evacuate {
        zone: u8,
        is_out: bool,
    },
    /// The store loses its last changes.
    Restore {
        lost_count: u8,
    },
    /// What the last restores lost is written again.
    WriteAgain,
    /// The store answers a read, and the answer is under way.
    Answer {
        index: u8,
    },
    /// An answer under way is changed to state an era that the store never had.
    Misstate {
        index: u8,
    },
    /// An answer or a shared message that is under way arrives.
    Arrive {
        index: u8,
    },
    /// A reader shares changes, which are under way.
    Share {
        area: StoreArea,
        back_count: u8,
    },
    Fail {
        index: u8,
        is_compacted: bool,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    let area = prop_oneof![Just(StoreArea::Operators), Just(StoreArea::Targets)];
    prop_oneof![
        4 => (0..4_u8, any::<bool>()).prop_map(|(id, is_draining)| Step::Write { id, is_draining }),
        2 => (0..4_u8).prop_map(|id| Step::Remove { id }),
        2 => Just(Step::Publish),
        2 => (0..2_u8, any::<bool>()).prop_map(|(zone, is_out)| Step::Evacuate { zone, is_out }),
        1 => (0..6_u8).prop_map(|lost_count| Step::Restore { lost_count }),
        1 => Just(Step::WriteAgain),
        6 => any::<u8>().prop_map(|index| Step::Answer { index }),
        1 => any::<u8>().prop_map(|index| Step::Misstate { index }),
        6 => any::<u8>().prop_map(|index| Step::Arrive { index }),
        2 => (area, 0..4_u8).prop_map(|(area, back_count)| Step::Share { area, back_count }),
        1 => (any::<u8>(), any::<bool>())
            .prop_map(|(index, is_compacted)| Step::Fail { index, is_compacted }),
    ]
}

/// Content of the store by key.
type Items = BTreeMap<String, StoreRecord>;

/// The store, and what operators and targets want it to hold.
#[derive(Default)]
struct Store {
    era: u64,
    changes: Vec<(String, StoreRecord)>,
    wanted: Items,
    lost_keys: BTreeSet<String>,
    version: u64,
    born_ms: u64,
}

fn area_of(key: &str) -> StoreArea {
    match key.starts_with("i-") {
        true => StoreArea::Targets,
        false => StoreArea::Operators,
    }
}

fn removal(key: &str) -> StoreRecord {
    match area_of(key) {
        StoreArea::Targets => removed(key),
        StoreArea::Operators => StoreRecord::ZoneOut {
            zone: key.to_owned(),
            is_out: false,
        },
    }
}

fn items(store: &Store) -> Items {
    let mut items = Items::new();
    for (key, record) in &store.changes {
        match record == &removal(key) {
            true => items.remove(key),
            false => items.insert(key.clone(), record.clone()),
        };
    }
    items
}

fn put(store: &mut Store, key: &str, record: StoreRecord) {
    store.wanted.insert(key.to_owned(), record.clone());
    store.changes.push((key.to_owned(), record));
}

fn remove(store: &mut Store, key: &str) {
    if store.wanted.remove(key).is_some() || items(store).contains_key(key) {
        store.changes.push((key.to_owned(), removal(key)));
    }
}

fn change_store(store: &mut Store, step: &Step) {
    match *step {
        Step::Write { id, is_draining } => {
            let key = format!("i-{id}");
            let mut written = registration(80 + u16::from(id));
            match store.wanted.get(&key) {
                Some(StoreRecord::Target {
                    registration: Some(known),
                    ..
                }) => {
                    written = known.clone();
                    written.is_draining |= is_draining;
                }
                _ => {
                    store.born_ms += 1;
                    written.born_ms = store.born_ms;
                }
            }
            put(store, &key, target(&key, written));
        }
        Step::Remove { id } => remove(store, &format!("i-{id}")),
        Step::Publish => {
            store.version += 1;
            let record = configuration(store.version, &["a"]);
            put(store, "config", record);
        }
        Step::Evacuate { zone, is_out } => {
            let zone = format!("z-{zone}");
            let record = StoreRecord::ZoneOut {
                zone: zone.clone(),
                is_out: true,
            };
            match is_out {
                true => put(store, &zone, record),
                false => remove(store, &zone),
            }
        }
        Step::Restore { lost_count } => {
            let kept_count = store.changes.len().saturating_sub(lost_count.into());
            let lost = store.changes.split_off(kept_count);
            store.lost_keys.extend(lost.into_iter().map(|(key, _)| key));
            store.era += 1;
        }
        Step::WriteAgain => {
            for key in std::mem::take(&mut store.lost_keys) {
                let wanted = store.wanted.get(&key).cloned();
                match wanted {
                    Some(record) => put(store, &key, record),
                    None => remove(store, &key),
                }
            }
        }
        _ => {}
    }
}

/// What is on its way to the instance.
#[derive(Debug)]
enum Message {
    Answer {
        read: StoreRead,
        era: u64,
        records: Vec<StoreRecord>,
        revision: u64,
        next: Option<String>,
    },
    Failure {
        read: StoreRead,
        era: u64,
        failure: StoreFailure,
    },
    Shared {
        area: StoreArea,
        era: u64,
        after: u64,
        revision: u64,
        records: Vec<StoreRecord>,
    },
}

fn changes_after(store: &Store, area: StoreArea, revision: u64) -> Vec<StoreRecord> {
    let changes = store.changes.iter().skip(revision as usize);
    let changes = changes.filter(|(key, _)| area_of(key) == area);
    changes.map(|(_, record)| record.clone()).collect()
}

fn answer(store: &Store, read: StoreRead) -> Message {
    let (era, revision) = (store.era, store.changes.len() as u64);
    match &read {
        StoreRead::Watch { after_revision, .. } if *after_revision > revision => {
            let failure = StoreFailure::Compacted;
            Message::Failure { read, era, failure }
        }
        StoreRead::Watch {
            area,
            after_revision,
            ..
        } => {
            let records = changes_after(store, *area, *after_revision);
            Message::Answer {
                read,
                era,
                records,
                revision,
                next: None,
            }
        }
        StoreRead::List { area, after, .. } => {
            let items = items(store);
            let after = after.clone().unwrap_or_default();
            let mut matching = items
                .iter()
                .filter(|(key, _)| area_of(key) == *area && **key > after);
            let page_count = match area {
                StoreArea::Targets => PAGE_ITEMS_COUNT,
                StoreArea::Operators => usize::MAX,
            };
            let page: Vec<_> = matching.by_ref().take(page_count).collect();
            let is_last = matching.next().is_none();
            let next = page
                .last()
                .filter(|_| !is_last)
                .map(|(key, _)| (*key).clone());
            let records = page.into_iter().map(|(_, record)| record.clone()).collect();
            Message::Answer {
                read,
                era,
                records,
                revision,
                next,
            }
        }
    }
}

struct Replica {
    sync: SyncState,
    catalog: Catalog,
    reads: Vec<StoreRead>,
    messages: Vec<Message>,
}

fn arrive(replica: &mut Replica, now: Instant, message: &Message) {
    let Replica {
        sync,
        catalog,
        reads,
        ..
    } = replica;
    let mut out = Vec::new();
    match message {
        Message::Answer {
            read,
            era,
            records,
            revision,
            next,
        } => {
            let answer = StoreAnswer {
                read,
                era: *era,
                records,
                revision: *revision,
                is_behind: false,
                next_page: next.as_deref(),
            };
            if is_earlier_era(sync, &answer) {
                let failure = StoreFailure::EarlierEra;
                let failed = FailedRead {
                    read,
                    failure,
                    era: *era,
                };
                fail_read(sync, catalog, now, &failed, &mut out);
            } else {
                on_store_answer(sync, catalog, now, &answer, &mut out);
            }
        }
        Message::Failure { read, era, failure } => {
            let failed = FailedRead {
                read,
                failure: *failure,
                era: *era,
            };
            fail_read(sync, catalog, now, &failed, &mut out);
        }
        Message::Shared {
            area,
            era,
            after,
            revision,
            records,
        } => {
            let shared = SharedChanges {
                area: *area,
                era: *era,
                after_revision: *after,
                revision: *revision,
                records,
            };
            on_shared_changes(sync, catalog, now, &shared, &mut out);
        }
    }
    start(sync, now, &mut out);
    reads.extend(out.into_iter().filter_map(|effect| match effect {
        Effect::ReadStore { read, .. } => Some(read),
        _ => None,
    }));
}

fn take<T>(items: &mut Vec<T>, index: u8) -> Option<T> {
    (!items.is_empty()).then(|| items.remove(usize::from(index) % items.len()))
}

fn run_step(replica: &mut Replica, store: &Store, now: Instant, step: &Step) {
    match *step {
        Step::Answer { index } => {
            if let Some(read) = take(&mut replica.reads, index) {
                replica.messages.push(answer(store, read));
            }
        }
        Step::Fail {
            index,
            is_compacted,
        } => {
            if let Some(read) = take(&mut replica.reads, index) {
                let (era, failure) = match is_compacted {
                    true => (store.era, StoreFailure::Compacted),
                    false => (0, StoreFailure::Unreachable),
                };
                replica
                    .messages
                    .push(Message::Failure { read, era, failure });
            }
        }
        Step::Share { area, back_count } => {
            let revision = store.changes.len() as u64;
            let after = revision.saturating_sub(back_count.into());
            replica.messages.push(Message::Shared {
                area,
                era: store.era,
                after,
                revision,
                records: changes_after(store, area, after),
            });
        }
        Step::Misstate { index } => {
            if let Some(mut message) = take(&mut replica.messages, index) {
                let (Message::Answer { era, .. }
                | Message::Failure { era, .. }
                | Message::Shared { era, .. }) = &mut message;
                *era += 1_000;
                replica.messages.push(message);
            }
        }
        Step::Arrive { index } => {
            if let Some(message) = take(&mut replica.messages, index) {
                arrive(replica, now, &message);
            }
        }
        _ => {}
    }
}

/// Processes that the catalog knows to drain or to have left.
fn ended(catalog: &Catalog) -> impl Iterator<Item = (String, u64)> {
    let targets = catalog.targets.values();
    let ended = targets.filter(|target| {
        target.draining_since.is_some() || target.removed_since.is_some() && !target.has_lapsed
    });
    ended.map(|target| (target.id.to_string(), target.started_at_ms))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    })]

    #[test]
    fn catalog_converges_to_a_restored_store_and_never_goes_back(
        steps in vec(any_step(), 1..90),
        has_era in any::<bool>(),
    ) {
        let begin = Instant::now();
        let mut store = Store { era: u64::from(has_era), ..Store::default() };
        let (sync, catalog) = (new_sync_state(WATCH_WAIT), Catalog::default());
        let mut replica = Replica { sync, catalog, reads: Vec::new(), messages: Vec::new() };
        let mut out = Vec::new();
        start(&mut replica.sync, begin, &mut out);
        replica.reads.extend(out.into_iter().filter_map(|effect| match effect {
            Effect::ReadStore { read, .. } => Some(read),
            _ => None,
        }));
        let mut ended_processes: BTreeSet<(String, u64)> = BTreeSet::new();
        let mut now = begin;
        let write_again = [Step::WriteAgain];
        let settle = (0..100_u32).flat_map(|_| [Step::Answer { index: 0 }, Step::Arrive { index: 0 }]);
        let settle: Vec<Step> = settle.collect();
        for step in steps.iter().chain(&write_again).chain(&settle) {
            now += Duration::from_millis(100);
            change_store(&mut store, step);
            let version = replica.catalog.version;
            run_step(&mut replica, &store, now, step);
            apply_due_zones(&mut replica.catalog, now);
            prop_assert!(replica.catalog.version >= version);
            for (key, known) in &replica.catalog.targets {
                if eligibility(&replica.catalog, key, now) < Eligibility::Leaving {
                    let process = (known.id.to_string(), known.started_at_ms);
                    prop_assert!(!ended_processes.contains(&process), "{process:?} had ended");
                }
            }
            ended_processes.extend(ended(&replica.catalog));
            remove_expired_targets(&mut replica.catalog, now);
        }
        let wanted_targets: BTreeMap<&str, (u64, bool)> = store.wanted.iter()
            .filter_map(|(key, record)| match record {
                StoreRecord::Target { registration: Some(r), .. } => {
                    Some((key.as_str(), (r.born_ms, r.is_draining)))
                }
                _ => None,
            })
            .collect();
        let targets = replica.catalog.targets.values();
        let targets: BTreeMap<&str, (u64, bool)> = targets
            .map(|t| (&*t.id, (t.started_at_ms, t.draining_since.is_some())))
            .collect();
        prop_assert_eq!(targets, wanted_targets);
        let zones: BTreeSet<String> =
            store.wanted.keys().filter(|key| key.starts_with("z-")).cloned().collect();
        prop_assert_eq!(&replica.catalog.zones_out, &zones);
        prop_assert_eq!(replica.catalog.version, store.version);
    }
}
