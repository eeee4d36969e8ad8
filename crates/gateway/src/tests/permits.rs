//! Requests of capped organisations.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{
    CallerKey, Effect, HttpRequest, HttpResponse, Message, NotRunReason, Outcome, Timer, UsageCap,
};
use quota::{Candidate, FleetView};
use rstest::rstest;
use slotmap::SlotMap;

use super::fixture::{CallResult, FrontSpec, simulation, single_service_front};
use crate::{Gateway, on_caller_gone, on_permit_timer, on_request, process_permits};

const CAP: UsageCap = UsageCap {
    per_s: 1.0,
    burst_count: 1.0,
};

/// Returns a gateway with a cap on `acme` whose permits the given instance issues.
fn gateway(front: &FrontSpec, issuer: &str) -> (Gateway, Instant) {
    let sim = simulation(front, |_, _| (0, CallResult::NoReply));
    let (mut gateway, now) = (sim.gateway, sim.now);
    let zones = ["kranj".to_owned()];
    let address = match issuer {
        "own" => gateway.settings.peers,
        _ => ([10, 0, 0, 9], 9).into(),
    };
    let candidate = Candidate {
        name: issuer,
        zone: "kranj",
        address,
        capacity_millicores: 0,
    };
    let view = FleetView {
        own_name: "own",
        own_zone: "kranj",
        zones: &zones,
        started_at: now,
        is_alone: true,
        has_heard: false,
        candidates: &[candidate],
    };
    quota::set_view(&mut gateway.quota, now, &view);
    let caps = [("acme", CAP)].into_iter();
    quota::set_caps(&mut gateway.quota, now, caps, &mut Vec::new());
    (gateway, now + Duration::from_secs(10))
}

fn send(gateway: &mut Gateway, now: Instant, caller: CallerKey, organisation: &str) -> Vec<Effect> {
    let request = HttpRequest {
        host: "parts.example".to_owned(),
        path: "/x".to_owned(),
        organisation: Some(organisation.into()),
        ..HttpRequest::default()
    };
    let mut out = Vec::new();
    on_request(gateway, now, caller, Arc::new(request), &mut out);
    out
}

fn refusal(effects: &[Effect]) -> Option<(NotRunReason, Duration)> {
    effects.iter().find_map(|effect| match effect {
        Effect::Respond { response, .. } => match **response {
            HttpResponse::Local {
                outcome: Outcome::NotRun(reason),
                retry_after,
            } => Some((reason, retry_after.unwrap_or_default())),
            _ => None,
        },
        _ => None,
    })
}

fn is_sent(effects: &[Effect]) -> bool {
    let mut effects = effects.iter();
    effects.any(|effect| matches!(effect, Effect::Attempt(_)))
}

/// Guards against requests beyond a cap that are sent, and against refusals of those without one.
#[test]
fn requests_beyond_a_cap_are_refused_with_the_time_to_come_back() {
    let (mut gateway, now) = gateway(&single_service_front(true), "own");
    let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
    for _ in 0..2 {
        let effects = send(&mut gateway, now, callers.insert(()), "acme");
        assert!(is_sent(&effects));
    }
    let effects = send(&mut gateway, now, callers.insert(()), "acme");
    assert!(!is_sent(&effects));
    let (reason, retry_after) = refusal(&effects).expect("a refusal");
    assert_eq!(reason, NotRunReason::OverCap);
    let range = Duration::from_secs(1)..Duration::from_secs(2);
    assert!(range.contains(&retry_after), "{retry_after:?}");
    let effects = send(&mut gateway, now, callers.insert(()), "other");
    assert!(is_sent(&effects));
}

/// Guards against permits that are lost with requests that no target received.
#[test]
fn a_request_that_was_not_sent_gives_its_permit_back() {
    let front = FrontSpec {
        targets_per_service: 0,
        ..single_service_front(true)
    };
    let (mut gateway, now) = gateway(&front, "own");
    let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
    for _ in 0..9 {
        let effects = send(&mut gateway, now, callers.insert(()), "acme");
        let reason = refusal(&effects).map(|(reason, _)| reason);
        assert_eq!(reason, Some(NotRunReason::NoTarget));
    }
}

/// Guards against requests that wait for a permit without an end, or are answered twice.
#[rstest]
#[case::granted(true, false)]
#[case::not_answered(false, false)]
#[case::caller_gone(true, true)]
fn a_request_waits_for_the_issuer(#[case] is_answered: bool, #[case] is_gone: bool) {
    let (mut gateway, now) = gateway(&single_service_front(true), "other");
    let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
    let caller = callers.insert(());
    let effects = send(&mut gateway, now, caller, "acme");
    assert!(!is_sent(&effects));
    let question = effects.iter().find_map(|effect| match effect {
        Effect::Send {
            message: Message::PermitsWanted { questions, .. },
            ..
        } => questions.first().cloned(),
        _ => None,
    });
    let question = question.expect("a question");
    let mut out = Vec::new();
    if is_gone {
        on_caller_gone(&mut gateway, now, caller, &mut out);
    }
    if is_answered {
        let answer = model::PermitAnswer {
            question_id: question.question_id,
            granted_count: 1,
            prefetched_count: 0,
            grant_id: 0,
            wait: Duration::ZERO,
            is_issuer: true,
        };
        let from = ([10, 0, 0, 9], 9).into();
        let mut outputs = Vec::new();
        assert!(quota::on_answer(
            &mut gateway.quota,
            now,
            from,
            &answer,
            &mut outputs
        ));
        process_permits(&mut gateway, now, outputs, &mut out);
    }
    assert_eq!(is_sent(&out), is_answered && !is_gone);
    let now = now + Duration::from_millis(25);
    on_permit_timer(&mut gateway, now, caller, &mut out);
    let reason = refusal(&out).map(|(reason, _)| reason);
    let expected = (!is_answered).then_some(NotRunReason::NoPermitIssuer);
    assert_eq!(reason, expected);
    assert!(gateway.held.is_empty());
}

/// Guards against a request that waits for a permit for longer than a quarter of its goal of 100 ms.
#[test]
fn the_last_timer_of_a_waiting_request_is_at_its_limit() {
    let (mut gateway, now) = gateway(&single_service_front(true), "other");
    let mut callers: SlotMap<CallerKey, ()> = SlotMap::with_key();
    let caller = callers.insert(());
    let mut out = send(&mut gateway, now, caller, "acme");
    let mut waited = Duration::ZERO;
    while let Some(after) = out.iter().find_map(|effect| match effect {
        Effect::SetTimer { timer, after } if *timer == Timer::Permit(caller) => Some(*after),
        _ => None,
    }) {
        waited += after;
        out.clear();
        on_permit_timer(&mut gateway, now + waited, caller, &mut out);
    }
    assert!(refusal(&out).is_some());
    assert_eq!(waited, Duration::from_millis(25));
}
