//! The gateway within the reducer: shutdown, quarantine, the store and the zone's reader.

use std::{
    borrow::Cow,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    AttemptCall, AttemptReply, CallFailure, CallerKey, Configuration, Destination, Effect, Event,
    FrontEntry, HttpRequest, HttpResponse, Message, NotRunReason, Outcome, QuarantineUpdate,
    Registration, ReplyStatus, ServiceEntry, StoreArea, StoreFailure, StoreRead, StoreRecord,
    TargetReport, Timer,
};
use rstest::rstest;
use slotmap::KeyData;

use super::fixture::{digest_of, settings};
use crate::{State, is_draining_callers, is_ready, new_state, reduce, revision};

/// Time from the start of the shutdown until the process is killed.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(6);

struct GatewayFixture {
    state: State,
    start: Instant,
    now: Instant,
    out: Vec<Effect>,
}

fn feed(fixture: &mut GatewayFixture, event: Event<'_>) {
    fixture.out.clear();
    reduce(&mut fixture.state, fixture.now, event, &mut fixture.out);
}

/// Ticks every 200 ms until `ms` after the start, or until the process exits.
fn tick_until(fixture: &mut GatewayFixture, ms: u64) {
    let at = fixture.start + Duration::from_millis(ms);
    while fixture.now < at {
        fixture.now = (fixture.now + Duration::from_millis(200)).min(at);
        feed(fixture, Event::Timer(Timer::Tick));
        if fixture.out.contains(&Effect::Exit) {
            return;
        }
    }
}

fn list_answer<'a>(area: StoreArea, records: Vec<StoreRecord>) -> Event<'a> {
    Event::StoreAnswered {
        read: StoreRead::List { area, after: None },
        records: Cow::Owned(records),
        revision: 10,
        is_behind: false,
        next_page: None,
        published: Bytes::new(),
    }
}

fn configuration() -> StoreRecord {
    StoreRecord::Configuration(Configuration {
        organisations: Vec::new(),
        version: 7,
        fronts: vec![FrontEntry {
            is_public: false,
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

fn target(number: u16) -> StoreRecord {
    StoreRecord::Target {
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

/// Returns a ready gateway instance with one front and five targets.
fn gateway_fixture() -> GatewayFixture {
    let mut settings = settings();
    settings.gateway = Some(settings::Gateway {
        shutdown_limit: SHUTDOWN_LIMIT,
        retry_ratio: 1.0,
        retry_constant_count: 1_000,
        ..settings::Gateway::default()
    });
    settings.once.strikes_max_count = 3;
    let start = Instant::now();
    let mut fixture = GatewayFixture {
        state: new_state(settings, 1, 1),
        start,
        now: start,
        out: Vec::new(),
    };
    feed(&mut fixture, Event::Started);
    assert!(!is_ready(&fixture.state));
    feed(
        &mut fixture,
        list_answer(StoreArea::Operators, vec![configuration()]),
    );
    assert!(!is_ready(&fixture.state), "the targets are not known yet");
    let targets = (1..=5).map(target).collect();
    feed(&mut fixture, list_answer(StoreArea::Targets, targets));
    assert!(is_ready(&fixture.state));
    assert_eq!(revision(&fixture.state), 7);
    fixture
}

fn caller(number: u64) -> CallerKey {
    CallerKey::from(KeyData::from_ffi(number << 32 | number))
}

fn send_request(fixture: &mut GatewayFixture, number: u64, path: &str) {
    let request = Arc::new(HttpRequest {
        request_id: format!("r-{number}"),
        method: "GET".to_owned(),
        host: "parts.example".to_owned(),
        path: path.to_owned(),
        ..HttpRequest::default()
    });
    let caller = caller(number);
    feed(fixture, Event::HttpRequest { caller, request });
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
fn a_busy_instance_exits_before_the_shutdown_limit() {
    let mut fixture = gateway_fixture();
    feed(&mut fixture, Event::ShutdownRequested);
    assert!(!is_ready(&fixture.state));
    let mut number = 0;
    let mut unanswered_count = 0;
    let mut exited_ms = None;
    for ms in (0..6_000).step_by(100) {
        tick_until(&mut fixture, ms);
        let ended = responses(&fixture.out).len();
        unanswered_count -= ended as i32;
        if fixture.out.contains(&Effect::Exit) {
            exited_ms = Some(ms);
            break;
        }
        number += 1;
        send_request(&mut fixture, number, "/x");
        unanswered_count += 1 - responses(&fixture.out).len() as i32;
    }
    let exited_ms = exited_ms.expect("the process exits before the limit");
    assert!((5_000..5_900).contains(&exited_ms), "{exited_ms} ms");
    assert_eq!(unanswered_count, 0, "requests without an answer");
}

#[test]
fn requests_shortly_before_the_shutdown_limit_are_refused() {
    let mut fixture = gateway_fixture();
    feed(&mut fixture, Event::ShutdownRequested);
    send_request(&mut fixture, 1, "/x");
    assert_eq!(attempts(&fixture.out).len(), 1, "still served");
    tick_until(&mut fixture, 4_600);
    send_request(&mut fixture, 2, "/x");
    assert!(attempts(&fixture.out).is_empty());
    assert!(matches!(
        responses(&fixture.out)[..],
        [HttpResponse::Local {
            outcome: Outcome::NotRun(NotRunReason::Leaving),
            retry_after: Some(_)
        }]
    ));
}

#[test]
fn requests_after_the_exit_effect_are_refused() {
    let mut fixture = gateway_fixture();
    feed(&mut fixture, Event::ShutdownRequested);
    tick_until(&mut fixture, 4_000);
    assert!(
        fixture.out.contains(&Effect::Exit),
        "no request arrived in the idle period"
    );
    send_request(&mut fixture, 1, "/x");
    assert!(attempts(&fixture.out).is_empty());
    assert_eq!(responses(&fixture.out).len(), 1);
}

/// Loses the target of each attempt just sent, and of the retries that follow; returns their number.
fn lose_targets(fixture: &mut GatewayFixture) -> usize {
    let mut lost_count = 0;
    while let Some(call) = attempts(&fixture.out).pop() {
        fixture.now += Duration::from_millis(20);
        lost_count += 1;
        let failure = CallFailure::ConnectionLost;
        let attempt = call.attempt;
        feed(fixture, Event::AttemptFailed { attempt, failure });
    }
    lost_count
}

#[test]
fn a_request_is_quarantined_after_three_target_crashes() {
    let mut fixture = gateway_fixture();
    let mut crashes_count = 0;
    for number in 1..=10 {
        fixture.now += Duration::from_millis(100);
        send_request(&mut fixture, number, "/crashes");
        crashes_count += lose_targets(&mut fixture);
    }
    assert_eq!(crashes_count, 3);
    send_request(&mut fixture, 99, "/harmless");
    assert_eq!(attempts(&fixture.out).len(), 1);
}

#[test]
fn strikes_count_across_a_renamed_front() {
    let mut fixture = gateway_fixture();
    let mut crashes_count = 0;
    for number in 1..=10 {
        let StoreRecord::Configuration(mut renamed) = configuration() else {
            panic!("a configuration");
        };
        renamed.version += number;
        renamed.fronts[0].name = format!("orders-{number}");
        let event = Event::StoreAnswered {
            read: StoreRead::Watch {
                area: StoreArea::Operators,
                after_revision: 10,
                wait: Duration::from_secs(1),
            },
            records: Cow::Owned(vec![StoreRecord::Configuration(renamed)]),
            revision: 10 + number,
            is_behind: false,
            next_page: None,
            published: Bytes::new(),
        };
        feed(&mut fixture, event);
        fixture.now += Duration::from_millis(100);
        send_request(&mut fixture, number, "/crashes");
        crashes_count += lose_targets(&mut fixture);
    }
    assert_eq!(crashes_count, 3);
}

#[rstest]
#[case::unknown_to_others(false, 1)]
#[case::quarantined_by_another_instance(true, 0)]
fn an_exchange_in_progress_sends_no_hedge_once_its_request_is_quarantined(
    #[case] is_quarantined: bool,
    #[case] hedges_count: usize,
) {
    let mut fixture = gateway_fixture();
    // Other requests earn the retry budget.
    for number in 2..5 {
        send_request(&mut fixture, number, "/harmless");
    }
    send_request(&mut fixture, 1, "/crashes");
    let gateway = fixture.state.gateway.as_ref().expect("a gateway runs");
    let mut exchanges = gateway.exchanges.iter();
    let exchange = exchanges.find(|(_, exchange)| exchange.request.path == "/crashes");
    let (key, exchange) = exchange.expect("it is in progress");
    let fingerprint = exchange.fingerprint;
    if is_quarantined {
        let Message::Digest(mut digest) = digest_of("far", "far-1", 250) else {
            panic!("a digest");
        };
        digest.observations.quarantine = vec![QuarantineUpdate {
            fingerprint,
            strikes_count: 3,
            is_quarantined: true,
            remaining: Duration::from_secs(600),
            strikes: Vec::new(),
        }];
        let message = Cow::Owned(Message::Digest(digest));
        feed(&mut fixture, Event::Peer { message });
    }
    let mut hedges = Vec::new();
    for _ in 0..20 {
        fixture.now += Duration::from_millis(10);
        feed(&mut fixture, Event::Timer(Timer::Exchange(key)));
        hedges.extend(attempts(&fixture.out));
    }
    assert_eq!(hedges.len(), hedges_count);
}

#[test]
fn a_successful_reply_clears_the_strikes() {
    let mut fixture = gateway_fixture();
    for number in 1..=10 {
        fixture.now += Duration::from_millis(100);
        send_request(&mut fixture, number, "/popular");
        let call = attempts(&fixture.out).pop().expect("the request is sent");
        let attempt = call.attempt;
        fixture.now += Duration::from_millis(20);
        if number % 2 == 0 {
            let failure = CallFailure::ConnectionLost;
            feed(&mut fixture, Event::AttemptFailed { attempt, failure });
        } else {
            let reply = AttemptReply {
                status: ReplyStatus::Done,
                code: 200,
                proof: Some("proof"),
                headers: Cow::Borrowed(&[]),
                body: Bytes::new(),
                report: TargetReport::default(),
            };
            feed(&mut fixture, Event::AttemptReplied { attempt, reply });
        }
    }
}

#[test]
fn a_store_outage_is_logged_and_does_not_affect_readiness() {
    let mut fixture = gateway_fixture();
    let read = StoreRead::List {
        area: StoreArea::Targets,
        after: None,
    };
    let failure = StoreFailure::Unreachable;
    feed(&mut fixture, Event::StoreFailed { read, failure });
    let is_logged = |out: &[Effect], name: &str| {
        let mut lines = out.iter();
        lines.any(|effect| matches!(effect, Effect::Log(line) if line.name == name))
    };
    assert!(is_logged(&fixture.out, "store-lost"));
    assert!(is_ready(&fixture.state));
    let targets = (1..=5).map(target).collect();
    feed(&mut fixture, list_answer(StoreArea::Targets, targets));
    assert!(is_logged(&fixture.out, "store-regained"));
}

/// Returns a digest of another instance in the same zone.
fn own_zone_digest(name: &str, capacity_millicores: u32) -> Message {
    digest_of(&settings().instance.zone, name, capacity_millicores)
}

/// Returns a watch answer that adds a sixth target.
fn watch_answer(is_behind: bool) -> Event<'static> {
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

fn shared_messages_count(out: &[Effect]) -> usize {
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
fn the_largest_instance_of_a_zone_is_its_reader(
    #[case] own_millicores: u32,
    #[case] is_reader: bool,
) {
    // Selection by hash alone could give the expected role by chance, so several zones are tried.
    for zone in 0..12 {
        let mut fixture = gateway_fixture();
        fixture.state.fleet.capacity_millicores = own_millicores;
        for number in 0..8 {
            let message = Cow::Owned(own_zone_digest(&format!("other-{zone}-{number}"), 250));
            feed(&mut fixture, Event::Peer { message });
        }
        tick_until(&mut fixture, 400);
        feed(&mut fixture, watch_answer(false));
        assert_eq!(
            shared_messages_count(&fixture.out) > 0,
            is_reader,
            "zone {zone}"
        );
    }
}

#[test]
fn a_reader_that_is_behind_shares_nothing() {
    let mut fixture = gateway_fixture();
    fixture.state.fleet.capacity_millicores = 500;
    for number in 0..8 {
        let message = Cow::Owned(own_zone_digest(&format!("other-{number}"), 250));
        feed(&mut fixture, Event::Peer { message });
    }
    tick_until(&mut fixture, 400);
    feed(&mut fixture, watch_answer(true));
    assert_eq!(shared_messages_count(&fixture.out), 0);
}

#[rstest]
#[case::small_zone(3, false)]
#[case::large_zone(12, true)]
fn only_a_large_zone_has_a_reader_that_shares_changes(
    #[case] others_count: u32,
    #[case] is_shared: bool,
) {
    let mut messages_count = 0;
    let mut fixture = gateway_fixture();
    for number in 0..others_count {
        let message = own_zone_digest(&format!("other-{number}"), 0);
        feed(
            &mut fixture,
            Event::Peer {
                message: Cow::Owned(message),
            },
        );
    }
    tick_until(&mut fixture, 400);
    let role = fixture
        .state
        .gateway
        .as_ref()
        .map(|gateway| gateway.sync.role);
    feed(&mut fixture, watch_answer(false));
    for effect in &fixture.out {
        if let Effect::Send {
            message: Message::StoreChanges(changes),
            ..
        } = effect
        {
            assert_eq!((changes.after_revision, changes.revision), (10, 12));
            assert_eq!(changes.body, Bytes::from_static(b"published"));
            messages_count += 1;
        }
    }
    let is_reader = role == Some(catalog::Role::Reader);
    assert_eq!(role == Some(catalog::Role::Alone), !is_shared);
    assert_eq!(messages_count > 0, is_reader);
}

#[test]
fn an_instance_isolated_from_targets_and_zones_is_not_ready() {
    let mut fixture = gateway_fixture();
    let message = Cow::Owned(digest_of("far", "far-1", 250));
    feed(&mut fixture, Event::Peer { message });
    for number in 1..=5 {
        send_request(&mut fixture, number, &format!("/{number}"));
        let calls = attempts(&fixture.out);
        for call in calls {
            let attempt = call.attempt;
            let failure = CallFailure::ConnectRefused;
            feed(&mut fixture, Event::AttemptFailed { attempt, failure });
        }
    }
    tick_until(&mut fixture, 600);
    assert!(
        is_ready(&fixture.state),
        "the other zone's digest may be delayed"
    );
    tick_until(&mut fixture, 1_200);
    assert!(!is_ready(&fixture.state));
    assert!(is_draining_callers(&fixture.state));
    send_request(&mut fixture, 9, "/9");
    let refusal = Outcome::NotRun(NotRunReason::CutOff);
    let responses = responses(&fixture.out);
    assert!(
        matches!(responses[..], [HttpResponse::Local { outcome, .. }] if outcome == refusal),
        "{responses:?}"
    );
    let message = Cow::Owned(digest_of("far", "far-1", 250));
    feed(&mut fixture, Event::Peer { message });
    tick_until(&mut fixture, 1_400);
    assert!(is_ready(&fixture.state));
    assert!(!is_draining_callers(&fixture.state));
}
