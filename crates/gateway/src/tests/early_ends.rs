//! Requests that nothing is under way for: they are sent again or answered, and never kept until
//! their time limit.

use std::time::Duration;

use model::{HttpResponse, NotRunReason, Outcome, UnknownReason};

use super::fixture::{CallResult, FrontSpec, record, simulation, single_service_front};
use crate::remove_targets;

/// Returns a front with a long time limit, as single requests have.
fn patient_front(is_idempotent: bool) -> FrontSpec {
    FrontSpec {
        goal_ms: 400,
        timeout_ms: 6_000,
        targets_per_service: 3,
        ..single_service_front(is_idempotent)
    }
}

/// Guards against a request that is kept until its time limit because the retry budget was used up
/// at the moment at which its first reply was late.
#[test]
fn a_retry_that_the_budget_denied_is_sent_once_the_budget_permits() {
    let mut first = true;
    let mut sim = simulation(&patient_front(true), move |_, _| {
        match std::mem::replace(&mut first, false) {
            true => (0, CallResult::NoReply),
            false => (20, CallResult::Done(record(1))),
        }
    });
    sim.gateway.settings.retry_constant_count = 0;
    let caller = sim.send_request();
    sim.advance(500);
    assert!(sim.response(caller).is_none(), "the budget was not used up");
    // Each request adds a fifth of a retry to the budget.
    for _ in 0..12 {
        sim.send_request();
        sim.advance(50);
        sim.tick();
    }
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert!(*at_ms < 1_200, "{at_ms} ms");
    assert!(matches!(response, HttpResponse::Proxied(reply) if reply.code == 200));
}

/// Guards against waiting for the reply of a process that is known to have been replaced.
#[test]
fn request_at_a_replaced_target_is_sent_to_another() {
    let mut first = true;
    let mut sim = simulation(&patient_front(true), move |_, _| {
        match std::mem::replace(&mut first, false) {
            true => (0, CallResult::NoReply),
            false => (20, CallResult::Done(record(1))),
        }
    });
    let caller = sim.send_request();
    sim.advance(5);
    let target = sim.gateway.attempts.values().next().expect("sent").target;
    let mut out = Vec::new();
    remove_targets(&mut sim.gateway, sim.now, &[target], &mut out);
    sim.apply_effects(out);
    sim.advance(50);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert!(*at_ms <= 40, "{at_ms} ms");
    assert!(matches!(response, HttpResponse::Proxied(reply) if reply.code == 200));
}

/// Guards against a caller that waits for the reply of a process that is known to have ended, and
/// against a second execution.
#[test]
fn request_that_is_not_idempotent_ends_with_its_target() {
    let mut sim = simulation(&patient_front(false), |_, _| (0, CallResult::NoReply));
    let caller = sim.send_request();
    sim.advance(5);
    let target = sim.gateway.attempts.values().next().expect("sent").target;
    let mut out = Vec::new();
    remove_targets(&mut sim.gateway, sim.now, &[target], &mut out);
    sim.apply_effects(out);
    let (_, response) = sim.response(caller).expect("no response");
    let expected = Outcome::Unknown(UnknownReason::ConnectionLost);
    assert!(matches!(response, HttpResponse::Local { outcome, .. } if *outcome == expected));
    assert_eq!(sim.attempts.len(), 1);
}

/// Guards against a request that waits for a connection until its time limit, when another instance
/// may have one.
#[test]
fn request_without_a_connection_is_refused_after_a_quarter_of_its_goal() {
    let front = FrontSpec {
        targets_per_service: 1,
        ..patient_front(true)
    };
    let mut sim = simulation(&front, |_, _| (0, CallResult::NoReply));
    sim.gateway.share_ratio = Some(0.0);
    sim.send_request();
    let caller = sim.send_request();
    sim.advance(120);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert!((90..=105).contains(at_ms), "{at_ms} ms");
    let expected = Outcome::NotRun(NotRunReason::Overloaded);
    let HttpResponse::Local {
        outcome,
        retry_after,
    } = response
    else {
        panic!("{response:?}");
    };
    assert_eq!(*outcome, expected);
    assert!(retry_after.is_some_and(|after| after > Duration::ZERO));
}
