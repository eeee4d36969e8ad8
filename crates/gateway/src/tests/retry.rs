//! Requests to one service: which may be retried, and the reported outcome.

use model::{CallFailure, HttpResponse, NotRunReason, Outcome, ReplyStatus, UnknownReason};
use rstest::rstest;

use super::fixture::{CallResult, record, simulation, single_service_front};

/// Runs a request whose first attempt ends as given and whose second would succeed; returns the
/// number of attempts and the response.
fn run_request(is_idempotent: bool, first: &CallResult) -> (usize, HttpResponse) {
    let first = first.clone();
    let mut count = 0;
    let mut sim = simulation(&single_service_front(is_idempotent), move |_, _| {
        count += 1;
        match count {
            1 => (3, first.clone()),
            _ => (3, CallResult::Done(record(1))),
        }
    });
    let caller = sim.send_request();
    sim.advance(600);
    let (_, response) = sim.response(caller).expect("no response").clone();
    (sim.attempts.len(), response)
}

#[rstest]
#[case::lost(CallResult::Failure(CallFailure::ConnectionLost))]
#[case::truncated(CallResult::Failure(CallFailure::Truncated))]
#[case::silent(CallResult::NoReply)]
fn non_idempotent_request_that_may_have_run_is_not_retried(#[case] first: CallResult) {
    let (calls_count, response) = run_request(false, &first);
    assert_eq!(calls_count, 1);
    assert!(matches!(
        response,
        HttpResponse::Local {
            outcome: Outcome::Unknown(_),
            retry_after: None
        }
    ));
}

#[test]
fn error_response_to_a_non_idempotent_request_is_passed_on() {
    let (calls_count, response) = run_request(false, &CallResult::Status(ReplyStatus::Failed));
    assert_eq!(calls_count, 1);
    assert!(matches!(response, HttpResponse::Proxied(reply) if reply.code == 500));
}

/// Guards against a caller that is told that its request has not run, although it has, and sends it
/// again.
#[test]
fn unconfirmed_refusal_of_a_non_idempotent_request_is_withheld() {
    let refusal = CallResult::Status(ReplyStatus::UnconfirmedRefusal);
    let (calls_count, response) = run_request(false, &refusal);
    assert_eq!(calls_count, 1);
    assert!(matches!(
        response,
        HttpResponse::Local {
            outcome: Outcome::Unknown(UnknownReason::UnconfirmedRefusal),
            retry_after: None
        }
    ));
}

#[rstest]
#[case::shed(CallResult::Status(ReplyStatus::Shed))]
#[case::misdirected(CallResult::Status(ReplyStatus::Misdirected))]
#[case::refused(CallResult::Failure(CallFailure::ConnectRefused))]
#[case::unsent(CallResult::Failure(CallFailure::NotSent))]
fn request_that_has_not_run_is_retried_at_another_target(#[case] first: CallResult) {
    let (calls_count, response) = run_request(false, &first);
    assert_eq!(calls_count, 2);
    assert!(matches!(response, HttpResponse::Proxied(reply) if reply.code == 200));
}

#[rstest]
#[case::lost(CallResult::Failure(CallFailure::ConnectionLost))]
#[case::failed(CallResult::Status(ReplyStatus::Failed))]
#[case::refused(CallResult::Status(ReplyStatus::UnconfirmedRefusal))]
#[case::silent(CallResult::NoReply)]
fn idempotent_request_is_retried(#[case] first: CallResult) {
    let (calls_count, response) = run_request(true, &first);
    assert_eq!(calls_count, 2);
    assert!(matches!(response, HttpResponse::Proxied(reply) if reply.code == 200));
}

#[test]
fn request_that_every_target_declines_is_reported_as_not_run() {
    let shed = CallResult::Status(ReplyStatus::Shed);
    let mut sim = simulation(&single_service_front(false), |_, _| (3, shed.clone()));
    let caller = sim.send_request();
    sim.advance(600);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert!(*at_ms <= 6);
    assert!(matches!(
        response,
        HttpResponse::Local {
            outcome: Outcome::NotRun(NotRunReason::Declined),
            retry_after: Some(_)
        }
    ));
}

#[test]
fn front_limits_the_attempts_of_a_request() {
    let mut front = single_service_front(true);
    front.targets_per_service = 5;
    front.attempts_max_count = 2;
    let lost = CallResult::Failure(CallFailure::ConnectionLost);
    let mut sim = simulation(&front, |_, _| (3, lost.clone()));
    sim.send_request();
    sim.advance(600);
    assert_eq!(sim.attempts.len(), 2);
}

#[test]
fn replaced_target_is_not_tried_again() {
    let mut sim = simulation(&single_service_front(true), |call, _| {
        match call.target_id.ends_with("/a") {
            true => (1, CallResult::Status(ReplyStatus::Misdirected)),
            false => (30, CallResult::Done(record(1))),
        }
    });
    for _ in 0..40 {
        sim.send_request();
        sim.advance(100);
    }
    let replaced = sim
        .attempts
        .iter()
        .filter(|attempt| attempt.target.ends_with("/a"));
    assert_eq!(replaced.count(), 1);
}

#[test]
fn requests_are_refused_until_configuration_and_targets_are_known() {
    let mut sim = simulation(&single_service_front(true), |_, _| {
        (1, CallResult::Done(Vec::new()))
    });
    sim.gateway.sync.targets.is_known = false;
    let caller = sim.send_request();
    let (_, response) = sim.response(caller).expect("no response");
    assert!(matches!(
        response,
        HttpResponse::Local {
            outcome: Outcome::NotRun(NotRunReason::NoConfiguration),
            retry_after: Some(_)
        }
    ));
}

#[test]
fn request_is_answered_before_its_timeout() {
    let mut sim = simulation(&single_service_front(true), |_, _| (0, CallResult::NoReply));
    let caller = sim.send_request();
    sim.advance(600);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert!((480..=486).contains(at_ms), "{at_ms} ms");
    assert!(matches!(
        response,
        HttpResponse::Local {
            outcome: Outcome::Unknown(_),
            ..
        }
    ));
}
