//! Organisations and keys at the gateway: who is admitted, what targets and relays receive, and
//! what a newer configuration does to requests in progress.

use std::{cell::RefCell, sync::Arc};

use bytes::Bytes;
use model::{
    AttemptCall, CallerKey, Configuration, Credential, Effect, FrontEntry, HttpRequest,
    HttpResponse, LogValue, Message, NotRunReason, OrganisationEntry, Outcome, Requester, Secret,
    StoreRecord,
};
use rstest::rstest;

use super::fixture::{
    CallResult, FrontSpec, Simulation, gathering_front, record, records, simulation,
    single_service_front,
};
use crate::{
    Exchange, RelayAnswer, on_configuration, on_relay_answer, on_relay_request, on_request,
};

/// Priority rank of the only front.
const FRONT_RANK: u32 = 1;

fn organisation(name: &str, rank: Option<u32>, keys: &[&str]) -> OrganisationEntry {
    OrganisationEntry {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|&key| Secret::new(key.to_owned()))
            .collect(),
        rank,
        cap: None,
    }
}

/// Puts a configuration with organisations in force.
fn configure<F>(
    sim: &mut Simulation<F>,
    front: &FrontSpec,
    is_public: bool,
    organisations: &[OrganisationEntry],
) where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    configure_as(sim, front, organisations, |entry| {
        entry.is_public = is_public;
    });
}

/// Puts a configuration in force whose front is changed.
fn configure_as<F>(
    sim: &mut Simulation<F>,
    front: &FrontSpec,
    organisations: &[OrganisationEntry],
    change: impl Fn(&mut FrontEntry),
) where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    let Some(StoreRecord::Configuration(mut configuration)) = records(front).into_iter().next()
    else {
        panic!("the first record is the configuration");
    };
    change(&mut configuration.fronts[0]);
    let configuration = Configuration {
        version: sim.gateway.catalog.version + 1,
        organisations: organisations.to_vec(),
        ..configuration
    };
    let record = StoreRecord::Configuration(configuration);
    catalog::apply(&mut sim.gateway.catalog, sim.now, &record);
    let mut out = Vec::new();
    on_configuration(&mut sim.gateway, sim.now, &mut out);
    sim.apply_effects(out);
}

fn credential(text: &str) -> Credential {
    Credential {
        texts: vec![Secret::new(text.to_owned())],
        key: text
            .strip_prefix("Bearer ")
            .map(|key| Secret::new(key.to_owned())),
    }
}

/// Sends a request with a credential and a stated organisation; returns its caller and effects.
fn send<F>(sim: &mut Simulation<F>, host: &str, text: Option<&str>) -> (CallerKey, Vec<Effect>)
where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    let caller = sim.callers.insert(0);
    let request = HttpRequest {
        request_id: "r".to_owned(),
        method: "GET".to_owned(),
        host: host.to_owned(),
        path: "/x".to_owned(),
        credential: text.map(credential),
        stated_organisation: vec![Bytes::from_static(b"stated")],
        ..HttpRequest::default()
    };
    let mut out = Vec::new();
    on_request(
        &mut sim.gateway,
        sim.now,
        caller,
        Arc::new(request),
        &mut out,
    );
    sim.apply_effects(out.clone());
    (caller, out)
}

/// Sends requests with a key until one waits for a connection; returns its caller.
fn send_until_queued<F>(sim: &mut Simulation<F>, text: Option<&str>) -> CallerKey
where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    let queued_count = sim.gateway.queued_parts.len();
    for _ in 0..200 {
        let (caller, _) = send(sim, "parts.example", text);
        if sim.gateway.queued_parts.len() > queued_count {
            return caller;
        }
    }
    panic!("no request waits");
}

fn outcome<F>(sim: &Simulation<F>, caller: CallerKey) -> Option<Outcome>
where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    match sim.response(caller)? {
        (_, HttpResponse::Local { outcome, .. }) => Some(*outcome),
        _ => Some(Outcome::Ran),
    }
}

fn exchange_of<F>(sim: &Simulation<F>, caller: CallerKey) -> Option<&Exchange> {
    let requester = Requester::Caller(caller);
    let mut exchanges = sim.gateway.exchanges.values();
    exchanges.find(|exchange| exchange.requester == requester)
}

const UNAUTHENTICATED: Outcome = Outcome::NotRun(NotRunReason::Unauthenticated);

/// Guards against a caller that is admitted without a valid key, refused with one, or told by a
/// 404 which fronts exist; and against a log line that doesn't say what is wrong with the key.
#[rstest]
#[case::valid("parts.example", Some("Bearer k1"), false, Outcome::Ran, "")]
#[case::absent("parts.example", None, false, UNAUTHENTICATED, "absent")]
#[case::unknown("parts.example", Some("Bearer k"), false, UNAUTHENTICATED, "unknown")]
#[case::malformed("parts.example", Some("Basic k1"), false, UNAUTHENTICATED, "malformed")]
#[case::public_without("parts.example", None, true, Outcome::Ran, "")]
#[case::public_with_unknown("parts.example", Some("Bearer k"), true, Outcome::Ran, "")]
#[case::unknown_front_without("other.example", None, true, UNAUTHENTICATED, "absent")]
#[case::unknown_front(
    "other.example",
    Some("Bearer k1"),
    false,
    Outcome::NotRun(NotRunReason::UnknownFront),
    ""
)]
fn a_caller_needs_a_valid_key(
    #[case] host: &str,
    #[case] text: Option<&str>,
    #[case] is_public: bool,
    #[case] expected: Outcome,
    #[case] fault: &str,
) {
    let front = single_service_front(true);
    let mut sim = simulation(&front, |_, _| (5, CallResult::Done(record(1))));
    configure(
        &mut sim,
        &front,
        is_public,
        &[organisation("a", None, &["k1"])],
    );
    let (caller, out) = send(&mut sim, host, text);
    sim.advance(10);
    assert_eq!(outcome(&sim, caller), Some(expected));
    let logged = out.iter().find_map(|effect| match effect {
        Effect::Log(line) => line.fields.iter().find(|(name, _)| name == "key"),
        _ => None,
    });
    let logged = logged.map(|(_, value)| value.clone());
    assert_eq!(logged, (!fault.is_empty()).then(|| LogValue::from(fault)));
}

/// Guards against a target that receives a key, or an organisation that the caller made up; and
/// against a deployment without organisations whose targets no longer receive what callers send.
#[rstest]
#[case::member(true, false, Some("Bearer k1"), Some("a"), false)]
#[case::public_member(true, true, Some("Bearer k1"), Some("a"), false)]
#[case::public_stranger(true, true, Some("Bearer k"), None, false)]
#[case::no_organisations(false, false, Some("Bearer k1"), None, true)]
fn targets_receive_the_organisation_and_never_the_key(
    #[case] has_organisations: bool,
    #[case] is_public: bool,
    #[case] text: Option<&str>,
    #[case] expected: Option<&str>,
    #[case] is_unchanged: bool,
) {
    let front = single_service_front(true);
    let requests: RefCell<Vec<Arc<HttpRequest>>> = RefCell::default();
    let mut sim = simulation(&front, |call, _| {
        requests.borrow_mut().push(call.request.clone());
        (5, CallResult::Done(record(1)))
    });
    let all = [organisation("a", None, &["k1"])];
    configure(
        &mut sim,
        &front,
        is_public,
        if has_organisations { &all } else { &[] },
    );
    send(&mut sim, "parts.example", text);
    let requests = requests.borrow();
    let [request] = &requests[..] else {
        panic!("one attempt");
    };
    assert_eq!(request.organisation.as_deref(), expected);
    assert_eq!(request.credential.is_some(), is_unchanged);
    assert_eq!(!request.stated_organisation.is_empty(), is_unchanged);
}

/// Guards against the rank of the front that takes precedence over the organisation's.
#[rstest]
#[case::own_rank(Some(0), 0)]
#[case::rank_of_the_front(None, FRONT_RANK)]
fn the_rank_of_the_organisation_takes_precedence(#[case] rank: Option<u32>, #[case] expected: u32) {
    let front = single_service_front(true);
    let mut sim = simulation(&front, |_, _| (5, CallResult::NoReply));
    configure(&mut sim, &front, false, &[organisation("a", rank, &["k1"])]);
    let (caller, _) = send(&mut sim, "parts.example", Some("Bearer k1"));
    let exchange = exchange_of(&sim, caller).expect("the exchange is open");
    assert_eq!(
        (exchange.rank, exchange.organisation.as_deref()),
        (expected, Some("a"))
    );
}

/// Returns a front whose goal leaves queued requests time to wait for a connection: they are refused
/// after a quarter of it.
fn patient_front() -> FrontSpec {
    FrontSpec {
        goal_ms: 400,
        timeout_ms: 1_000,
        ..single_service_front(true)
    }
}

/// Guards against a queued request that is sent, or waits on, after its key was removed; against
/// one whose key stays and that is refused; and against a sent request that is broken off.
#[test]
fn a_queued_request_ends_when_its_key_is_removed() {
    let front = patient_front();
    let mut sim = simulation(&front, |_, _| (50, CallResult::Done(record(1))));
    configure(
        &mut sim,
        &front,
        false,
        &[organisation("a", None, &["k1", "k2"])],
    );
    let (sent, _) = send(&mut sim, "parts.example", Some("Bearer k1"));
    let removed = send_until_queued(&mut sim, Some("Bearer k1"));
    let kept = send_until_queued(&mut sim, Some("Bearer k2"));
    configure(&mut sim, &front, false, &[organisation("a", None, &["k2"])]);
    assert_eq!(outcome(&sim, removed), Some(UNAUTHENTICATED));
    assert_eq!(outcome(&sim, kept), None);
    sim.advance(120);
    assert_eq!(outcome(&sim, sent), Some(Outcome::Ran));
    assert_eq!(outcome(&sim, kept), Some(Outcome::Ran));
    let (late, _) = send(&mut sim, "parts.example", Some("Bearer k1"));
    assert_eq!(outcome(&sim, late), Some(UNAUTHENTICATED));
}

/// Guards against requests that arrived before the configuration named organisations: they would
/// be sent without a check, and with the key.
#[test]
fn queued_requests_are_checked_when_organisations_are_first_named() {
    let front = patient_front();
    let last_sent: RefCell<Option<Arc<HttpRequest>>> = RefCell::default();
    let mut sim = simulation(&front, |call, _| {
        *last_sent.borrow_mut() = Some(call.request.clone());
        (50, CallResult::Done(record(1)))
    });
    let stranger = send_until_queued(&mut sim, Some("Bearer k"));
    let member = send_until_queued(&mut sim, Some("Bearer k1"));
    configure(
        &mut sim,
        &front,
        false,
        &[organisation("a", Some(0), &["k1"])],
    );
    assert_eq!(outcome(&sim, stranger), Some(UNAUTHENTICATED));
    let exchange = exchange_of(&sim, member).expect("it waits");
    assert_eq!(
        (exchange.rank, exchange.organisation.as_deref()),
        (0, Some("a"))
    );
    sim.advance(120);
    assert_eq!(outcome(&sim, member), Some(Outcome::Ran));
    let last_sent = last_sent.borrow();
    let request = last_sent.as_ref().expect("it was sent");
    assert_eq!(request.organisation.as_deref(), Some("a"));
    assert!(request.credential.is_none() && request.stated_organisation.is_empty());
}

/// Guards against a retry to a first target after the key was removed.
#[test]
fn a_request_that_no_target_received_is_not_sent_again_once_its_key_is_removed() {
    let front = single_service_front(true);
    let refused = CallResult::Failure(model::CallFailure::ConnectRefused);
    let mut sim = simulation(&front, |_, _| (5, refused.clone()));
    configure(&mut sim, &front, false, &[organisation("a", None, &["k1"])]);
    let (caller, _) = send(&mut sim, "parts.example", Some("Bearer k1"));
    configure(&mut sim, &front, false, &[organisation("a", None, &["k2"])]);
    assert_eq!(outcome(&sim, caller), None, "its connection may succeed");
    sim.advance(10);
    assert_eq!(outcome(&sim, caller), Some(UNAUTHENTICATED));
    assert_eq!(sim.attempts.len(), 1);
}

/// Guards against a key in a relayed query, and against one that runs here after the relay hands it
/// back although its key was removed meanwhile.
#[test]
fn a_relay_receives_the_organisation_and_a_query_handed_back_is_checked_again() {
    let front = gathering_front(30);
    let mut sim = simulation(&front, |_, _| (5, CallResult::Done(record(1))));
    configure(
        &mut sim,
        &front,
        false,
        &[organisation("a", None, &["k1", "k2"])],
    );
    sim.gateway.relay_candidates = vec![([10, 0, 0, 9], 90).into()];
    let (caller, _) = send(&mut sim, "parts.example", Some("Bearer k1"));
    let [Message::Relay(relayed)] = &sim.peer_messages[..] else {
        panic!("the query is relayed");
    };
    assert_eq!(relayed.request.organisation.as_deref(), Some("a"));
    assert!(relayed.request.credential.is_none());
    assert!(relayed.request.stated_organisation.is_empty());
    let key = sim.gateway.exchanges.keys().next().expect("one exchange");
    configure(&mut sim, &front, false, &[organisation("a", None, &["k2"])]);
    assert_eq!(outcome(&sim, caller), None, "the relay may have sent it");
    let handed_back = RelayAnswer {
        merged: None,
        is_unsent: true,
        is_unexecuted: true,
    };
    let mut out = Vec::new();
    on_relay_answer(&mut sim.gateway, sim.now, key, &handed_back, &mut out);
    sim.apply_effects(out);
    assert_eq!(outcome(&sim, caller), Some(UNAUTHENTICATED));
    assert!(sim.attempts.is_empty());
}

/// Guards against a relay that runs a query of nobody, and against one that keeps an unsent query
/// whose organisation has lost a key: only the instance that relayed it knows the key.
#[rstest]
#[case::of_an_organisation(Some("a"), None, true)]
#[case::of_an_unknown_organisation(Some("z"), None, false)]
#[case::of_nobody(None, None, false)]
#[case::of_an_older_version_with_a_key(None, Some("Bearer k1"), true)]
#[case::of_an_older_version_without(None, Some("Bearer k"), false)]
fn a_relay_runs_only_queries_of_organisations(
    #[case] name: Option<&str>,
    #[case] text: Option<&str>,
    #[case] is_run: bool,
) {
    let front = gathering_front(2);
    let mut sim = simulation(&front, |_, _| (1_000, CallResult::NoReply));
    let keys = organisation("a", None, &["k1", "k2"]);
    configure(&mut sim, &front, false, &[keys]);
    for _ in 0..2 {
        send_until_queued(&mut sim, Some("Bearer k2"));
    }
    sim.peer_messages.clear();
    let relayed = model::RelayedRequest {
        reply_to: ([10, 0, 0, 9], 90).into(),
        relay_id: 5,
        version: sim.gateway.catalog.version,
        request: Arc::new(HttpRequest {
            request_id: "r1".to_owned(),
            method: "GET".to_owned(),
            host: "parts.example".to_owned(),
            path: "/x".to_owned(),
            organisation: name.map(Arc::from),
            credential: text.map(credential),
            ..HttpRequest::default()
        }),
        goal: None,
        attempts_max_count: None,
    };
    let mut out = Vec::new();
    on_relay_request(&mut sim.gateway, sim.now, &relayed, None, &mut out);
    sim.apply_effects(out);
    let is_taken = matches!(sim.peer_messages[..], [Message::RelayTaken { .. }]);
    assert_eq!(is_taken, is_run, "{:?}", sim.peer_messages);
    configure(&mut sim, &front, false, &[organisation("a", None, &["k1"])]);
    let is_handed_back = matches!(
        sim.peer_messages.last(),
        Some(Message::RelayAnswer {
            is_unsent: true,
            answer: None,
            ..
        })
    );
    assert!(is_handed_back, "{:?}", sim.peer_messages);
    assert!(
        sim.gateway
            .exchanges
            .values()
            .all(|exchange| exchange.request.credential.is_none())
    );
}

/// Guards against a queued request that is sent without a valid key because the configuration that
/// removed the key also removed or renamed its front; and against one that is refused although the
/// front that its requests now match is public.
#[rstest]
#[case::removed("other.example", false, Some(UNAUTHENTICATED))]
#[case::renamed("parts.example", false, Some(UNAUTHENTICATED))]
#[case::renamed_and_public("parts.example", true, None)]
fn a_queued_request_whose_front_is_removed_is_checked_as_a_new_one(
    #[case] host: &str,
    #[case] is_public: bool,
    #[case] expected: Option<Outcome>,
) {
    let front = single_service_front(true);
    let mut sim = simulation(&front, |_, _| (50, CallResult::Done(record(1))));
    let both = organisation("a", None, &["k1", "k2"]);
    configure(&mut sim, &front, false, &[both]);
    let removed = send_until_queued(&mut sim, Some("Bearer k1"));
    let kept = send_until_queued(&mut sim, Some("Bearer k2"));
    let rest = organisation("a", None, &["k2"]);
    configure_as(&mut sim, &front, &[rest], |entry| {
        entry.name = "renamed".to_owned();
        entry.host = host.to_owned();
        entry.is_public = is_public;
    });
    assert_eq!(outcome(&sim, removed), expected);
    assert_eq!(outcome(&sim, kept), None);
}

/// Relays a query of organisation `a` to this instance.
fn relay_query<F>(sim: &mut Simulation<F>)
where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    let relayed = model::RelayedRequest {
        reply_to: ([10, 0, 0, 9], 90).into(),
        relay_id: 5,
        version: sim.gateway.catalog.version,
        request: Arc::new(HttpRequest {
            request_id: "r1".to_owned(),
            method: "GET".to_owned(),
            host: "parts.example".to_owned(),
            path: "/x".to_owned(),
            organisation: Some("a".into()),
            ..HttpRequest::default()
        }),
        goal: None,
        attempts_max_count: None,
    };
    let mut out = Vec::new();
    on_relay_request(&mut sim.gateway, sim.now, &relayed, None, &mut out);
    sim.apply_effects(out);
}

fn is_handed_back<F>(sim: &Simulation<F>) -> bool {
    let last = sim.peer_messages.last();
    matches!(last, Some(Message::RelayAnswer { is_unsent, answer: None, .. }) if *is_unsent)
}

/// Guards against a relayed query of a member that loses its organisation on a public front because
/// another key of the organisation was removed: only the instance that relayed it knows the key.
#[test]
fn a_relay_hands_a_members_query_back_on_a_public_front_too() {
    let front = gathering_front(2);
    let mut sim = simulation(&front, |_, _| (1_000, CallResult::NoReply));
    let keys = organisation("a", None, &["k1", "k2"]);
    configure(&mut sim, &front, true, &[keys]);
    for _ in 0..2 {
        send_until_queued(&mut sim, Some("Bearer k2"));
    }
    relay_query(&mut sim);
    configure(&mut sim, &front, true, &[organisation("a", None, &["k1"])]);
    assert!(is_handed_back(&sim), "{:?}", sim.peer_messages);
}

/// Guards against a relayed query that a relay sends again although its organisation was removed,
/// because a later configuration names one like it, with other keys.
#[test]
fn an_organisation_that_returns_with_other_keys_admits_no_earlier_query() {
    let front = gathering_front(1);
    let refused = CallResult::Failure(model::CallFailure::ConnectRefused);
    let mut sim = simulation(&front, |_, _| (5, refused.clone()));
    configure(&mut sim, &front, false, &[organisation("a", None, &["k1"])]);
    relay_query(&mut sim);
    let sent_count = sim.attempts.len();
    for (name, key) in [("b", "k2"), ("a", "k3")] {
        configure(&mut sim, &front, false, &[organisation(name, None, &[key])]);
    }
    sim.advance(20);
    assert_eq!(sim.attempts.len(), sent_count);
    assert!(is_handed_back(&sim), "{:?}", sim.peer_messages);
}
