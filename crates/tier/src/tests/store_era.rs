//! A restored store within the reducer: readiness of an instance that may be behind, and what a
//! reader passes on.

use std::{
    borrow::Cow,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    CallerKey, Configuration, Counter, Effect, Event, HttpRequest, Message, StoreArea, StoreBody,
    StoreFailure, StoreRead, StoreRecord, Timer,
};
use rstest::rstest;

use super::fixture::{digest_of, settings};
use crate::{State, is_ready, new_state, reduce, status};

struct Instance {
    state: State,
    start: Instant,
    now: Instant,
    out: Vec<Effect>,
}

fn feed(instance: &mut Instance, event: Event<'_>) {
    instance.out.clear();
    reduce(&mut instance.state, instance.now, event, &mut instance.out);
}

fn answer(instance: &mut Instance, read: StoreRead, era: u64, records: Vec<StoreRecord>) {
    let event = Event::StoreAnswered {
        read,
        era,
        records: Cow::Owned(records),
        revision: 10,
        is_behind: false,
        next_page: None,
        published: StoreBody(Bytes::from_static(b"published")),
    };
    feed(instance, event);
}

fn list(area: StoreArea, era: u64) -> StoreRead {
    StoreRead::List {
        area,
        era,
        after: None,
    }
}

fn watch(era: u64) -> StoreRead {
    StoreRead::Watch {
        area: StoreArea::Targets,
        era,
        after_revision: 10,
        wait: Duration::from_secs(1),
    }
}

fn configuration(version: u64) -> StoreRecord {
    StoreRecord::Configuration(Configuration {
        version,
        ..Configuration::default()
    })
}

/// Starts an instance that reads version 5 from a store of this era.
fn start(era: u64, has_seed: bool) -> Instance {
    let mut settings = settings();
    let mut gateway = settings::Gateway::default();
    if has_seed {
        gateway.seeds = vec![([10, 0, 9, 1], 9_000).into()];
    }
    settings.gateway = Some(gateway);
    let now = Instant::now();
    let mut instance = Instance {
        state: new_state(settings, 1, 1),
        start: now,
        now,
        out: Vec::new(),
    };
    feed(&mut instance, Event::Started);
    let operators = list(StoreArea::Operators, 0);
    answer(&mut instance, operators, era, vec![configuration(5)]);
    answer(&mut instance, list(StoreArea::Targets, 0), era, Vec::new());
    instance
}

fn tick_until(instance: &mut Instance, ms: u64) {
    let at = instance.start + Duration::from_millis(ms);
    while instance.now < at {
        instance.now += Duration::from_millis(200);
        feed(instance, Event::Timer(Timer::Tick));
    }
}

/// Delivers a digest of another instance that has this version in force.
fn hear(instance: &mut Instance, version: u64) {
    let Message::Digest(mut digest) = digest_of("kranj", "other", 250) else {
        panic!("expected a digest");
    };
    digest.version_in_force = version;
    let message = Cow::Owned(Message::Digest(digest));
    feed(instance, Event::Peer { message });
}

fn is_logged(instance: &Instance, name: &str) -> bool {
    let mut lines = instance.out.iter();
    lines.any(|effect| matches!(effect, Effect::Log(line) if line.name == name))
}

/// A deployment whose store states no era, and one without other instances, serve at once.
#[rstest]
#[case::no_era(0, true, true)]
#[case::alone(3, false, true)]
#[case::others_may_have_a_later_version(3, true, false)]
fn instance_waits_for_others_only_if_the_store_may_have_been_restored(
    #[case] era: u64,
    #[case] has_seed: bool,
    #[case] expected: bool,
) {
    let instance = start(era, has_seed);
    assert_eq!(is_ready(&instance.state), expected);
}

/// The wait for another version replaces no refusal of an instance that has no catalog yet, and its
/// counts stay as they were: a deployment whose store states no era is served as before.
#[test]
fn request_before_the_catalog_is_known_is_counted() {
    let mut instance = start(0, true);
    let sync = &mut instance.state.gateway.as_mut().expect("a gateway").sync;
    *sync = catalog::new_sync_state(sync.watch_wait);
    instance.state.catch_up = Default::default();
    let event = Event::HttpRequest {
        caller: CallerKey::default(),
        request: Arc::new(HttpRequest::default()),
    };
    feed(&mut instance, event);
    let is_counted = |effect: &Effect| match effect {
        Effect::Count { counter, .. } => *counter == Counter::Requests,
        _ => false,
    };
    assert!(instance.out.iter().any(is_counted), "{:?}", instance.out);
    assert!(is_logged(&instance, "request-refused"));
}

/// It read the copy, which lacks version 8, and would bring back what that version removed.
#[test]
fn instance_that_starts_behind_is_not_ready_until_it_has_the_version_in_force() {
    let mut instance = start(3, true);
    hear(&mut instance, 8);
    assert!(is_logged(&instance, "configuration-behind"));
    tick_until(&mut instance, 4_000);
    assert!(!is_ready(&instance.state));
    assert_eq!(instance.state.fleet.version_in_force, 0);
    let read = StoreRead::Watch {
        area: StoreArea::Operators,
        era: 3,
        after_revision: 10,
        wait: Duration::from_secs(1),
    };
    answer(&mut instance, read, 3, vec![configuration(8)]);
    assert!(is_ready(&instance.state));
    assert!(is_logged(&instance, "configuration-caught-up"));
    assert_eq!(instance.state.fleet.version_in_force, 8);
    hear(&mut instance, 11);
    assert!(is_ready(&instance.state), "a later version is on its way");
}

#[rstest]
#[case::version_not_written_again(Some(8), 8_400)]
#[case::no_other_instance_is_heard(None, 1_400)]
#[case::others_have_the_same_version(Some(5), 200)]
fn instance_waits_for_a_limited_time(#[case] heard: Option<u64>, #[case] ready_ms: u64) {
    let mut instance = start(3, true);
    if let Some(version) = heard {
        hear(&mut instance, version);
    }
    if ready_ms > 1_000 {
        tick_until(&mut instance, ready_ms - 600);
        assert!(!is_ready(&instance.state));
    }
    tick_until(&mut instance, ready_ms);
    assert!(is_ready(&instance.state));
}

#[test]
fn restore_is_logged_and_does_not_affect_the_readiness_of_a_running_instance() {
    let mut instance = start(1, false);
    hear(&mut instance, 8);
    answer(&mut instance, watch(1), 2, Vec::new());
    assert!(is_logged(&instance, "store-restored"));
    assert!(is_ready(&instance.state));
    let status = status(&instance.state, instance.now);
    assert_eq!((status.store_era, status.store_targets_revision), (2, 0));
    answer(&mut instance, list(StoreArea::Targets, 2), 2, Vec::new());
    assert!(is_logged(&instance, "store-relisted"));
}

/// It may have missed a version that the copy lacks.
#[test]
fn instance_that_was_frozen_across_the_restore_waits_for_the_version_in_force() {
    let mut instance = start(1, true);
    hear(&mut instance, 5);
    tick_until(&mut instance, 1_000);
    assert!(is_ready(&instance.state));
    instance.now += Duration::from_secs(10);
    answer(&mut instance, watch(1), 2, Vec::new());
    assert!(!is_ready(&instance.state));
    hear(&mut instance, 8);
    assert!(!is_ready(&instance.state));
    instance.now += Duration::from_millis(100);
    let operators = list(StoreArea::Operators, 2);
    answer(&mut instance, operators, 2, vec![configuration(8)]);
    assert!(is_ready(&instance.state));
}

/// A second restore, or an era that rises with each answer, would begin the limited wait again.
#[test]
fn further_eras_do_not_prolong_the_wait_after_a_pause() {
    let mut instance = start(1, true);
    hear(&mut instance, 5);
    instance.now += Duration::from_secs(10);
    answer(&mut instance, watch(1), 2, Vec::new());
    hear(&mut instance, u64::MAX);
    tick_until(&mut instance, 17_000);
    assert!(!is_ready(&instance.state));
    answer(&mut instance, list(StoreArea::Targets, 2), 3, Vec::new());
    hear(&mut instance, u64::MAX);
    tick_until(&mut instance, 18_400);
    assert!(is_ready(&instance.state));
}

#[test]
fn answer_of_an_earlier_era_counts_as_a_failure() {
    let mut instance = start(2, false);
    for _ in 0..3 {
        answer(&mut instance, watch(2), 1, Vec::new());
    }
    assert!(!is_logged(&instance, "store-lost"), "logged when doubled");
    let gateway = instance.state.gateway.as_ref().expect("a gateway");
    assert_eq!(gateway.sync.targets.failures_count, 3);
    assert!(is_ready(&instance.state));
}

/// One answer that states a wrong era would otherwise end the reading of the store for good.
#[test]
fn instance_follows_a_store_whose_era_was_wrong_once() {
    let mut instance = start(1, false);
    answer(&mut instance, watch(1), 1 << 62, Vec::new());
    let is_given_up = (0..20).any(|_| {
        instance.now += Duration::from_millis(300);
        let mut is_given_up = false;
        for area in [StoreArea::Operators, StoreArea::Targets] {
            answer(&mut instance, list(area, 1 << 62), 1, Vec::new());
            is_given_up |= is_logged(&instance, "era-given-up");
        }
        is_given_up
    });
    assert!(is_given_up);
    let records = vec![configuration(6)];
    answer(&mut instance, list(StoreArea::Operators, 1), 1, records);
    let status = status(&instance.state, instance.now);
    assert_eq!((status.store_era, status.store_operators_revision), (1, 10));
    let gateway = instance.state.gateway.as_ref().expect("a gateway");
    assert_eq!(gateway.catalog.version, 6);
    assert!(is_ready(&instance.state));
}

#[derive(Clone, Copy, Debug)]
enum Heard {
    ByAnswer,
    ByRefusal,
}

/// Followers would otherwise rely on the reader until it is silent.
#[rstest]
fn reader_tells_its_followers_of_a_new_era_and_shares_no_answer_across_eras(
    #[values(Heard::ByAnswer, Heard::ByRefusal)] heard: Heard,
) {
    let mut instance = start(1, false);
    let gateway = instance.state.gateway.as_mut().expect("a gateway");
    gateway.sync.role = catalog::Role::Reader;
    let zone = instance.state.settings.instance.zone.clone();
    let message = Cow::Owned(digest_of(&zone, "follower", 250));
    feed(&mut instance, Event::Peer { message });
    match heard {
        Heard::ByAnswer => answer(&mut instance, watch(1), 2, Vec::new()),
        Heard::ByRefusal => {
            let event = Event::StoreFailed {
                read: watch(1),
                failure: StoreFailure::Compacted,
                era: 2,
            };
            feed(&mut instance, event);
        }
    }
    let shared = instance.out.iter().filter_map(|effect| match effect {
        Effect::Send {
            message: Message::StoreChanges(changes),
            ..
        } => Some(changes),
        _ => None,
    });
    let shared: Vec<_> = shared.collect();
    assert_eq!(shared.len(), 1, "{shared:?}");
    assert_eq!((shared[0].era, shared[0].revision), (2, 0));
}
