//! Authentication within the reducer: it precedes every other decision, and holds in an outage of
//! the store.

use std::{
    borrow::Cow,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use model::{
    CallerKey, Configuration, Counter, Credential, Destination, Effect, Event, FrontEntry,
    HttpRequest, HttpResponse, NotRunReason, OrganisationEntry, Outcome, Secret, ServiceEntry,
    StoreArea, StoreBody, StoreFailure, StoreRead, StoreRecord, Timer,
};
use once::ObservedStrike;
use rstest::rstest;
use slotmap::KeyData;

use super::fixture::settings;
use crate::{State, new_state, reduce};

fn configuration(version: u64, keys: &[&str]) -> StoreRecord {
    StoreRecord::Configuration(Configuration {
        organisations: vec![OrganisationEntry {
            name: "a".to_owned(),
            keys: keys
                .iter()
                .map(|&key| Secret::new(key.to_owned()))
                .collect(),
            rank: None,
            cap: None,
        }],
        version,
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

/// Returns the state of a gateway instance that has read nothing yet.
fn started(now: Instant) -> State {
    let mut settings = settings();
    settings.gateway = Some(settings::Gateway::default());
    settings.once.strikes_max_count = 1;
    let mut state = new_state(settings, 1, 1);
    reduce(&mut state, now, Event::Started, &mut Vec::new());
    state
}

fn read(
    state: &mut State,
    now: Instant,
    area: StoreArea,
    records: Vec<StoreRecord>,
) -> Vec<Effect> {
    read_era(state, now, 0, area, records)
}

fn read_era(
    state: &mut State,
    now: Instant,
    era: u64,
    area: StoreArea,
    records: Vec<StoreRecord>,
) -> Vec<Effect> {
    let event = Event::StoreAnswered {
        era,
        read: StoreRead::List {
            area,
            era: 0,
            after: None,
        },
        records: Cow::Owned(records),
        revision: 10,
        is_behind: false,
        next_page: None,
        published: StoreBody(Bytes::new()),
    };
    let mut out = Vec::new();
    reduce(state, now, event, &mut out);
    out
}

fn request(key: Option<&str>) -> Arc<HttpRequest> {
    let credential = key.map(|key| Credential {
        texts: vec![Secret::new(format!("Bearer {key}"))],
        key: Some(Secret::new(key.to_owned())),
    });
    Arc::new(HttpRequest {
        request_id: "r".to_owned(),
        host: "parts.example".to_owned(),
        path: "/x".to_owned(),
        credential,
        ..HttpRequest::default()
    })
}

/// Sends a request; returns the reason why it was refused, and the effects.
fn refusal(
    state: &mut State,
    now: Instant,
    key: Option<&str>,
) -> (Option<NotRunReason>, Vec<Effect>) {
    let caller = CallerKey::from(KeyData::from_ffi(1 << 32 | 1));
    let request = request(key);
    let mut out = Vec::new();
    reduce(state, now, Event::HttpRequest { caller, request }, &mut out);
    let refusal = out.iter().find_map(|effect| match effect {
        Effect::Respond { response, .. } => match **response {
            HttpResponse::Local {
                outcome: Outcome::NotRun(reason),
                ..
            } => Some(reason),
            _ => None,
        },
        _ => None,
    });
    (refusal, out)
}

/// What else would decide about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Other {
    Quarantined,
    Leaving,
    NoTargets,
}

/// Guards against another refusal that tells a caller without a key something about the system,
/// and against a 401 that hides the other refusals from those with one.
#[rstest]
#[case::quarantined(Other::Quarantined, NotRunReason::Quarantined)]
#[case::leaving(Other::Leaving, NotRunReason::Leaving)]
#[case::targets_not_read(Other::NoTargets, NotRunReason::NoConfiguration)]
fn authentication_precedes_every_other_decision(
    #[case] other: Other,
    #[case] expected: NotRunReason,
) {
    let mut now = Instant::now();
    let mut state = started(now);
    read(
        &mut state,
        now,
        StoreArea::Operators,
        vec![configuration(1, &["k1"])],
    );
    if other != Other::NoTargets {
        read(&mut state, now, StoreArea::Targets, Vec::new());
    }
    match other {
        Other::Quarantined => {
            let strike = ObservedStrike {
                fingerprint: gateway::fingerprint(&request(None)),
                service: "ledger",
                sent_at: now,
                lost_at: now,
            };
            let settings = state.settings.once.clone();
            once::add_strike(&mut state.once, &settings, now, &strike);
        }
        Other::Leaving => {
            reduce(&mut state, now, Event::ShutdownRequested, &mut Vec::new());
            let shutdown_limit = settings::Gateway::default().shutdown_limit;
            now += shutdown_limit;
        }
        Other::NoTargets => {}
    }
    for key in [None, Some("k")] {
        let (reason, out) = refusal(&mut state, now, key);
        assert_eq!(reason, Some(NotRunReason::Unauthenticated));
        let count = Effect::Count {
            counter: Counter::UnauthenticatedRequests,
            amount_count: 1,
        };
        assert!(out.contains(&count));
    }
    assert_eq!(refusal(&mut state, now, Some("k1")).0, Some(expected));
}

/// Guards against an instance that decides about keys before it has read any, which after a
/// restart during a partition would tell callers with a valid key that theirs is not.
#[test]
fn without_a_configuration_everything_is_refused_as_unavailable() {
    let now = Instant::now();
    let mut state = started(now);
    for key in [None, Some("k"), Some("k1")] {
        let (reason, _) = refusal(&mut state, now, key);
        assert_eq!(reason, Some(NotRunReason::NoConfiguration));
    }
}

/// Guards against keys that are forgotten in an outage of the store, and against one that an older
/// configuration brings back after it.
#[test]
fn keys_hold_in_an_outage_and_a_removed_one_never_returns() {
    let now = Instant::now();
    let mut state = started(now);
    let old = configuration(1, &["k1", "k2"]);
    read(&mut state, now, StoreArea::Operators, vec![old.clone()]);
    read(&mut state, now, StoreArea::Targets, Vec::new());
    let lines = read(
        &mut state,
        now,
        StoreArea::Operators,
        vec![configuration(2, &["k2"])],
    );
    let line = lines.iter().find_map(|effect| match effect {
        Effect::Log(line) if line.name == "configuration-in-force" => Some(line),
        _ => None,
    });
    let fields = &line.expect("the change is logged").fields;
    for (name, value) in [("organisations_count", 1_u64), ("keys_count", 1)] {
        assert!(
            fields.contains(&(name.to_owned(), value.into())),
            "{fields:?}"
        );
    }
    let unreachable = Event::StoreFailed {
        era: 0,
        read: StoreRead::List {
            era: 0,
            area: StoreArea::Operators,
            after: None,
        },
        failure: StoreFailure::Unreachable,
    };
    reduce(&mut state, now, unreachable, &mut Vec::new());
    let check = |state: &mut State, now| {
        let [k1, k2] = ["k1", "k2"].map(|key| refusal(state, now, Some(key)).0);
        assert_eq!(k1, Some(NotRunReason::Unauthenticated));
        assert_eq!(k2, Some(NotRunReason::NoTarget));
    };
    check(&mut state, now + Duration::from_secs(600));
    read(&mut state, now, StoreArea::Operators, vec![old]);
    check(&mut state, now + Duration::from_secs(601));
}

/// Guards against a 401 for a valid key from an instance that started after a restore of the store
/// and may have read a configuration older than the one in force.
#[test]
fn an_instance_that_may_be_behind_refuses_unknown_keys_as_unavailable() {
    let mut now = Instant::now();
    let mut settings = settings();
    settings.gateway = Some(settings::Gateway {
        seeds: vec![([10, 0, 9, 1], 9_000).into()],
        ..settings::Gateway::default()
    });
    let mut state = new_state(settings, 1, 1);
    reduce(&mut state, now, Event::Started, &mut Vec::new());
    let records = vec![configuration(1, &["k1"])];
    read_era(&mut state, now, 3, StoreArea::Operators, records);
    read_era(&mut state, now, 3, StoreArea::Targets, Vec::new());
    for key in [None, Some("k1"), Some("k2")] {
        let (reason, _) = refusal(&mut state, now, key);
        assert_eq!(reason, Some(NotRunReason::NoConfiguration));
    }
    // No other instance is heard, so the version that was read counts as the one in force.
    for _ in 0..7 {
        now += Duration::from_millis(200);
        reduce(&mut state, now, Event::Timer(Timer::Tick), &mut Vec::new());
    }
    let (reason, _) = refusal(&mut state, now, Some("k2"));
    assert_eq!(reason, Some(NotRunReason::Unauthenticated));
}
