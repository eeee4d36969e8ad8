//! Requests to one service: what may be repeated, and what is said of it.

use model::{CallFailure, HttpResponse, NotRunReason, Outcome, ReplyStatus};
use rstest::rstest;

use super::fixture::{Fate, record, single, world};

/// The end of a request whose first call ends as given and whose second would succeed.
fn end(is_idempotent: bool, first: &Fate) -> (usize, HttpResponse) {
    let first = first.clone();
    let mut count = 0;
    let mut world = world(&single(is_idempotent), move |_, _| {
        count += 1;
        match count {
            1 => (3, first.clone()),
            _ => (3, Fate::Done(record(1))),
        }
    });
    let caller = world.ask();
    world.pass(600);
    let (_, response) = world.response(caller).expect("an end").clone();
    (world.seen.len(), response)
}

#[rstest]
#[case::lost(Fate::Fails(CallFailure::ConnectionLost))]
#[case::cut_short(Fate::Fails(CallFailure::Truncated))]
#[case::silent(Fate::Silence)]
fn what_may_have_run_is_not_sent_again_if_it_must_run_once(#[case] first: Fate) {
    let (calls_count, response) = end(false, &first);
    assert_eq!(calls_count, 1);
    assert!(matches!(
        response,
        HttpResponse::Ended {
            outcome: Outcome::Unknown(_),
            retry_after: None
        }
    ));
}

#[test]
fn a_targets_own_failure_of_a_request_that_runs_once_is_passed_on() {
    let (calls_count, response) = end(false, &Fate::Says(ReplyStatus::Failed));
    assert_eq!(calls_count, 1);
    assert!(matches!(response, HttpResponse::Passed(reply) if reply.code == 500));
}

#[rstest]
#[case::shed(Fate::Says(ReplyStatus::Shed))]
#[case::misdirected(Fate::Says(ReplyStatus::Misdirected))]
#[case::refused(Fate::Fails(CallFailure::ConnectRefused))]
#[case::unsent(Fate::Fails(CallFailure::NotSent))]
fn what_has_not_run_is_sent_to_another_target(#[case] first: Fate) {
    let (calls_count, response) = end(false, &first);
    assert_eq!(calls_count, 2);
    assert!(matches!(response, HttpResponse::Passed(reply) if reply.code == 200));
}

#[rstest]
#[case::lost(Fate::Fails(CallFailure::ConnectionLost))]
#[case::failed(Fate::Says(ReplyStatus::Failed))]
#[case::silent(Fate::Silence)]
fn what_may_run_more_than_once_is_repeated(#[case] first: Fate) {
    let (calls_count, response) = end(true, &first);
    assert_eq!(calls_count, 2);
    assert!(matches!(response, HttpResponse::Passed(reply) if reply.code == 200));
}

#[test]
fn a_request_that_every_target_declines_has_not_run() {
    let shed = Fate::Says(ReplyStatus::Shed);
    let mut world = world(&single(false), |_, _| (3, shed.clone()));
    let caller = world.ask();
    world.pass(600);
    let (at_ms, response) = world.response(caller).expect("an end");
    assert!(*at_ms <= 6);
    assert!(matches!(
        response,
        HttpResponse::Ended {
            outcome: Outcome::NotRun(NotRunReason::Declined),
            retry_after: Some(_)
        }
    ));
}

#[test]
fn the_front_limits_the_targets_of_a_request() {
    let mut plan = single(true);
    plan.targets_per_service = 5;
    plan.attempts_max_count = 2;
    let lost = Fate::Fails(CallFailure::ConnectionLost);
    let mut world = world(&plan, |_, _| (3, lost.clone()));
    world.ask();
    world.pass(600);
    assert_eq!(world.seen.len(), 2);
}

#[test]
fn an_address_that_another_target_has_is_not_tried_again() {
    let mut world = world(&single(true), |call, _| {
        match call.target_id.ends_with("/a") {
            true => (1, Fate::Says(ReplyStatus::Misdirected)),
            false => (30, Fate::Done(record(1))),
        }
    });
    for _ in 0..40 {
        world.ask();
        world.pass(100);
    }
    let replaced = world.seen.iter().filter(|seen| seen.target.ends_with("/a"));
    assert_eq!(replaced.count(), 1);
}

#[test]
fn before_a_configuration_is_known_nothing_is_said_about_fronts() {
    let mut world = world(&single(true), |_, _| (1, Fate::Done(Vec::new())));
    world.gateway.sync.targets.is_known = false;
    let caller = world.ask();
    let (_, response) = world.response(caller).expect("an end");
    assert!(matches!(
        response,
        HttpResponse::Ended {
            outcome: Outcome::NotRun(NotRunReason::NoConfiguration),
            retry_after: Some(_)
        }
    ));
}

#[test]
fn every_request_is_answered_before_its_time_is_over() {
    let mut world = world(&single(true), |_, _| (0, Fate::Silence));
    let caller = world.ask();
    world.pass(600);
    let (at_ms, response) = world.response(caller).expect("an end");
    assert!((480..=486).contains(at_ms), "{at_ms} ms");
    assert!(matches!(
        response,
        HttpResponse::Ended {
            outcome: Outcome::Unknown(_),
            ..
        }
    ));
}
