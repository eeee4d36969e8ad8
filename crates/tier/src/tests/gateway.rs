//! The gateway within the whole reducer: leaving, quarantine, the store, and the zone's reader.

use std::{
    borrow::Cow,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    AttemptCall, AttemptReply, CallFailure, CallerKey, Configuration, Destination, Digest, Effect,
    Event, FrontEntry, HttpRequest, HttpResponse, InstanceId, MemberRow, MemberState, Message,
    NotRunReason, Outcome, Record, Registration, ReplyStatus, ServiceEntry, StoreArea,
    StoreFailure, StoreRead, Timer,
};
use rstest::rstest;
use slotmap::KeyData;

use super::fixture::settings;
use crate::{State, is_ready, open, reduce, revision, turns_callers_away};

/// Time after which the machine ends the process.
const LIMIT: Duration = Duration::from_secs(6);

struct Entry {
    state: State,
    start: Instant,
    now: Instant,
    out: Vec<Effect>,
}

fn feed(entry: &mut Entry, event: Event<'_>) {
    entry.out.clear();
    reduce(&mut entry.state, entry.now, event, &mut entry.out);
}

fn tick_at(entry: &mut Entry, ms: u64) {
    let at = entry.start + Duration::from_millis(ms);
    while entry.now < at {
        entry.now = (entry.now + Duration::from_millis(200)).min(at);
        feed(entry, Event::Timer(Timer::Tick));
        if entry.out.contains(&Effect::Exit) {
            return;
        }
    }
}

fn answered<'a>(area: StoreArea, records: Vec<Record>) -> Event<'a> {
    Event::StoreAnswered {
        read: StoreRead::List { area, after: None },
        records: Cow::Owned(records),
        revision: 10,
        is_behind: false,
        next_page: None,
        published: Bytes::new(),
    }
}

fn configuration() -> Record {
    Record::Configuration(Configuration {
        version: 7,
        fronts: vec![FrontEntry {
            name: "orders".to_owned(),
            host: "parts.example".to_owned(),
            prefix: "/".to_owned(),
            is_idempotent: true,
            timeout: Duration::from_secs(4),
            goal: None,
            rank: 0,
            attempts_max_count: 2,
            destination: Destination::Split(vec![("ledger".to_owned(), 1.0)]),
        }],
        services: vec![ServiceEntry {
            name: "ledger".to_owned(),
            connections_max_count: 26,
            cold_max_per_s: 0.0,
        }],
    })
}

fn target(number: u16) -> Record {
    Record::Target {
        target_id: format!("i-{number}"),
        registration: Some(Registration {
            service: "ledger".to_owned(),
            address: ([10, 0, 0, 1], number).into(),
            zone: "kranj".to_owned(),
            slots_count: 4,
            is_draining: false,
            cold_for: Duration::ZERO,
            born_ms: 1,
        }),
    }
}

/// An entry instance that knows one front and five targets.
fn entry() -> Entry {
    let mut settings = settings();
    settings.gateway = Some(settings::Gateway {
        shutdown_limit: LIMIT,
        retry_ratio: 1.0,
        retry_constant_count: 1_000,
        ..settings::Gateway::default()
    });
    settings.once.strikes_max_count = 3;
    let start = Instant::now();
    let mut entry = Entry {
        state: open(settings, 1, 1),
        start,
        now: start,
        out: Vec::new(),
    };
    feed(&mut entry, Event::Started);
    assert!(!is_ready(&entry.state));
    feed(
        &mut entry,
        answered(StoreArea::Operators, vec![configuration()]),
    );
    assert!(!is_ready(&entry.state), "the targets are not known");
    let targets = (1..=5).map(target).collect();
    feed(&mut entry, answered(StoreArea::Targets, targets));
    assert!(is_ready(&entry.state));
    assert_eq!(revision(&entry.state), 7);
    entry
}

fn caller(number: u64) -> CallerKey {
    CallerKey::from(KeyData::from_ffi(number << 32 | number))
}

fn ask(entry: &mut Entry, number: u64, path: &str) {
    let request = Arc::new(HttpRequest {
        request_id: format!("r-{number}"),
        method: "GET".to_owned(),
        host: "parts.example".to_owned(),
        path: path.to_owned(),
        ..HttpRequest::default()
    });
    let caller = caller(number);
    feed(entry, Event::HttpRequest { caller, request });
}

fn attempts(out: &[Effect]) -> Vec<AttemptCall> {
    let attempts = out.iter().filter_map(|effect| match effect {
        Effect::Attempt(call) => Some(call.clone()),
        _ => None,
    });
    attempts.collect()
}

fn responses(out: &[Effect]) -> Vec<HttpResponse> {
    let responses = out.iter().filter_map(|effect| match effect {
        Effect::Respond { response, .. } => Some(HttpResponse::clone(response)),
        _ => None,
    });
    responses.collect()
}

#[test]
fn an_instance_that_callers_keep_busy_ends_before_the_machine_ends_it() {
    let mut entry = entry();
    feed(&mut entry, Event::Leave);
    assert!(!is_ready(&entry.state));
    let mut number = 0;
    let mut cut_count = 0;
    let mut exited_ms = None;
    for ms in (0..6_000).step_by(100) {
        tick_at(&mut entry, ms);
        let ended = responses(&entry.out).len();
        cut_count -= ended as i32;
        if entry.out.contains(&Effect::Exit) {
            exited_ms = Some(ms);
            break;
        }
        number += 1;
        ask(&mut entry, number, "/x");
        cut_count += 1 - responses(&entry.out).len() as i32;
    }
    let exited_ms = exited_ms.expect("the process ends by itself");
    assert!((5_000..5_900).contains(&exited_ms), "{exited_ms} ms");
    assert_eq!(cut_count, 0, "requests without an answer");
}

#[test]
fn shortly_before_its_end_an_instance_refuses_what_it_could_not_finish() {
    let mut entry = entry();
    feed(&mut entry, Event::Leave);
    ask(&mut entry, 1, "/x");
    assert_eq!(attempts(&entry.out).len(), 1, "still served");
    tick_at(&mut entry, 4_600);
    ask(&mut entry, 2, "/x");
    assert!(attempts(&entry.out).is_empty());
    assert!(matches!(
        responses(&entry.out)[..],
        [HttpResponse::Ended {
            outcome: Outcome::NotRun(NotRunReason::Leaving),
            retry_after: Some(_)
        }]
    ));
}

#[test]
fn what_still_comes_in_after_the_end_was_asked_for_is_refused() {
    let mut entry = entry();
    feed(&mut entry, Event::Leave);
    tick_at(&mut entry, 4_000);
    assert!(entry.out.contains(&Effect::Exit), "nobody asks any more");
    ask(&mut entry, 1, "/x");
    assert!(attempts(&entry.out).is_empty());
    assert_eq!(responses(&entry.out).len(), 1);
}

#[test]
fn a_request_that_crashes_its_targets_is_refused_from_the_third_crash_on() {
    let mut entry = entry();
    let mut crashes_count = 0;
    for number in 1..=10 {
        entry.now += Duration::from_millis(100);
        ask(&mut entry, number, "/crashes");
        while let Some(call) = attempts(&entry.out).pop() {
            entry.now += Duration::from_millis(20);
            crashes_count += 1;
            let failure = CallFailure::ConnectionLost;
            let attempt = call.attempt;
            feed(&mut entry, Event::AttemptFailed { attempt, failure });
        }
    }
    assert_eq!(crashes_count, 3);
    ask(&mut entry, 99, "/harmless");
    assert_eq!(attempts(&entry.out).len(), 1);
}

#[test]
fn a_request_that_a_target_survives_is_harmless() {
    let mut entry = entry();
    for number in 1..=10 {
        entry.now += Duration::from_millis(100);
        ask(&mut entry, number, "/popular");
        let call = attempts(&entry.out).pop().expect("the request is sent");
        let attempt = call.attempt;
        entry.now += Duration::from_millis(20);
        if number % 2 == 0 {
            let failure = CallFailure::ConnectionLost;
            feed(&mut entry, Event::AttemptFailed { attempt, failure });
        } else {
            let reply = AttemptReply {
                status: ReplyStatus::Done,
                code: 200,
                proof: Some("proof"),
                headers: Cow::Borrowed(&[]),
                body: Bytes::new(),
                load: None,
            };
            feed(&mut entry, Event::AttemptReplied { attempt, reply });
        }
    }
}

#[test]
fn the_loss_and_the_return_of_the_store_are_logged_and_change_nothing_else() {
    let mut entry = entry();
    let read = StoreRead::List {
        area: StoreArea::Targets,
        after: None,
    };
    let failure = StoreFailure::Unreachable;
    feed(&mut entry, Event::StoreFailed { read, failure });
    let is_logged = |out: &[Effect], name: &str| {
        let mut lines = out.iter();
        lines.any(|effect| matches!(effect, Effect::Log(line) if line.name == name))
    };
    assert!(is_logged(&entry.out, "store-lost"));
    assert!(is_ready(&entry.state));
    let targets = (1..=5).map(target).collect();
    feed(&mut entry, answered(StoreArea::Targets, targets));
    assert!(is_logged(&entry.out, "store-regained"));
}

/// A digest of an instance of the own zone.
fn digest(name: &str, capacity_millicores: u32) -> Message {
    digest_of(&settings().instance.zone, name, capacity_millicores)
}

fn digest_of(zone: &str, name: &str, capacity_millicores: u32) -> Message {
    Message::Digest(Digest {
        from: MemberRow {
            id: InstanceId {
                name: name.to_owned(),
                incarnation: 1,
            },
            address: ([10, 0, 9, 1], 9_000).into(),
            zone: zone.to_owned(),
            capacity_millicores,
            counter: 0,
            state: MemberState::Alive,
        },
        sequence: 0,
        wants_reply: false,
        revision: 0,
        freshness_age: Duration::ZERO,
        members: Vec::new(),
        quarantine: Vec::new(),
    })
}

/// A watch's answer that tells of a sixth target.
fn changed(is_behind: bool) -> Event<'static> {
    Event::StoreAnswered {
        read: StoreRead::Watch {
            area: StoreArea::Targets,
            after_revision: 10,
            wait: Duration::from_secs(1),
        },
        records: Cow::Owned(vec![target(6)]),
        revision: 12,
        is_behind,
        next_page: None,
        published: Bytes::from_static(b"published"),
    }
}

fn shared_count(out: &[Effect]) -> usize {
    let shared = out.iter().filter(|effect| {
        let Effect::Send { message, .. } = effect else {
            return false;
        };
        matches!(message, Message::StoreChanges(_))
    });
    shared.count()
}

#[rstest]
#[case::larger(500, true)]
#[case::smaller(100, false)]
fn the_largest_instance_of_a_zone_reads_for_the_others(
    #[case] own_millicores: u32,
    #[case] is_reader: bool,
) {
    // A hash alone makes each of twelve the reader of some zone, so several zones are tried.
    for zone in 0..12 {
        let mut entry = entry();
        entry.state.fleet.capacity_millicores = own_millicores;
        for number in 0..8 {
            let message = Cow::Owned(digest(&format!("other-{zone}-{number}"), 250));
            feed(&mut entry, Event::Peer { message });
        }
        tick_at(&mut entry, 400);
        feed(&mut entry, changed(false));
        assert_eq!(shared_count(&entry.out) > 0, is_reader, "zone {zone}");
    }
}

#[test]
fn a_reader_that_is_behind_tells_the_others_nothing() {
    let mut entry = entry();
    entry.state.fleet.capacity_millicores = 500;
    for number in 0..8 {
        let message = Cow::Owned(digest(&format!("other-{number}"), 250));
        feed(&mut entry, Event::Peer { message });
    }
    tick_at(&mut entry, 400);
    feed(&mut entry, changed(true));
    assert_eq!(shared_count(&entry.out), 0);
}

#[rstest]
#[case::small_zone(3, false)]
#[case::large_zone(12, true)]
fn in_a_large_zone_a_reader_tells_the_others(#[case] others_count: u32, #[case] is_shared: bool) {
    let mut told_count = 0;
    let mut entry = entry();
    for number in 0..others_count {
        let message = digest(&format!("other-{number}"), 0);
        feed(
            &mut entry,
            Event::Peer {
                message: Cow::Owned(message),
            },
        );
    }
    tick_at(&mut entry, 400);
    let role = entry
        .state
        .gateway
        .as_ref()
        .map(|gateway| gateway.sync.role);
    feed(&mut entry, changed(false));
    for effect in &entry.out {
        if let Effect::Send {
            message: Message::StoreChanges(changes),
            ..
        } = effect
        {
            assert_eq!((changes.after_revision, changes.revision), (10, 12));
            assert_eq!(changes.body, Bytes::from_static(b"published"));
            told_count += 1;
        }
    }
    let is_reader = role == Some(catalog::Role::Reader);
    assert_eq!(role == Some(catalog::Role::Alone), !is_shared);
    assert_eq!(told_count > 0, is_reader);
}

#[test]
fn an_instance_that_is_cut_off_from_targets_and_zones_is_not_ready() {
    let mut entry = entry();
    let message = Cow::Owned(digest_of("far", "far-1", 250));
    feed(&mut entry, Event::Peer { message });
    for number in 1..=5 {
        ask(&mut entry, number, &format!("/{number}"));
        let calls = attempts(&entry.out);
        for call in calls {
            let attempt = call.attempt;
            let failure = CallFailure::ConnectRefused;
            feed(&mut entry, Event::AttemptFailed { attempt, failure });
        }
    }
    tick_at(&mut entry, 600);
    assert!(is_ready(&entry.state), "the other zone may only be slow");
    tick_at(&mut entry, 1_200);
    assert!(!is_ready(&entry.state));
    assert!(turns_callers_away(&entry.state));
    ask(&mut entry, 9, "/9");
    let refusal = Outcome::NotRun(NotRunReason::CutOff);
    let responses = responses(&entry.out);
    assert!(
        matches!(responses[..], [HttpResponse::Ended { outcome, .. }] if outcome == refusal),
        "{responses:?}"
    );
    let message = Cow::Owned(digest_of("far", "far-1", 250));
    feed(&mut entry, Event::Peer { message });
    tick_at(&mut entry, 1_400);
    assert!(is_ready(&entry.state));
    assert!(!turns_callers_away(&entry.state));
}
