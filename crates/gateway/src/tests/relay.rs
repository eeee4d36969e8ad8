//! Queries that a larger instance runs for a smaller one.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use model::{
    Effect, HttpRequest, HttpResponse, MergedAnswer, Message, NotRunReason, Outcome, RelayedRequest,
};
use rstest::rstest;

use super::fixture::{Fate, plan, record, world};
use crate::{relay_answered, relay_cancelled, relay_taken, relay_unreachable, relayed};

const LARGER: ([u8; 4], u16) = ([10, 0, 0, 9], 7000);

fn larger() -> SocketAddr {
    LARGER.into()
}

fn answer() -> MergedAnswer {
    MergedAnswer {
        proofs: vec!["proof".into()],
        missing_count: 1,
        body: Bytes::from(record(7)),
    }
}

fn request(version: u64) -> RelayedRequest {
    RelayedRequest {
        reply_to: larger(),
        relay_id: 5,
        version,
        request: Arc::new(HttpRequest {
            request_id: "r1".to_owned(),
            method: "GET".to_owned(),
            host: "parts.example".to_owned(),
            path: "/x".to_owned(),
            timeout: Some(Duration::from_millis(400)),
            ..HttpRequest::default()
        }),
        goal: Some(Duration::from_millis(60)),
    }
}

#[test]
fn a_large_query_is_handed_over_and_its_answer_passed_on() {
    let mut world = world(&plan(30), |_, _| (5, Fate::Done(record(1))));
    world.gateway.relay_candidates = vec![larger()];
    let caller = world.ask();
    let [Message::Relay(relayed)] = &world.sent[..] else {
        panic!("one message, not {:?}", world.sent);
    };
    assert!(
        relayed
            .goal
            .is_some_and(|goal| goal < Duration::from_millis(86))
    );
    let id = relayed.relay_id;
    relay_taken(&mut world.gateway, id);
    world.pass(40);
    assert!(world.seen.is_empty());
    let mut out = Vec::new();
    relay_answered(
        &mut world.gateway,
        world.now,
        id,
        Some(&answer()),
        false,
        &mut out,
    );
    world.run(out);
    let (_, response) = world.response(caller).expect("an answer");
    assert!(matches!(
        response,
        HttpResponse::Merged {
            missing_count: 1,
            ..
        }
    ));
}

#[test]
fn a_small_query_runs_where_it_arrives() {
    let mut world = world(&plan(20), |_, _| (5, Fate::Done(record(1))));
    world.gateway.relay_candidates = vec![larger()];
    world.ask();
    assert!(world.sent.is_empty());
    assert_eq!(world.seen.len(), 20);
}

#[test]
fn a_query_that_is_not_taken_in_time_runs_here_and_the_instance_is_avoided() {
    let mut world = world(&plan(30), |_, _| (5, Fate::Done(record(1))));
    world.gateway.relay_candidates = vec![larger()];
    let first = world.ask();
    world.pass(25);
    assert_eq!(world.seen.len(), 30);
    assert!(world.response(first).is_some());
    assert!(matches!(world.sent[1], Message::RelayCancel { .. }));
    let second = world.ask();
    world.pass(6);
    assert!(world.response(second).is_some());
    assert_eq!(world.sent.len(), 2, "the silent instance is not asked");
}

#[test]
fn a_query_that_the_larger_instance_refused_runs_here() {
    let mut world = world(&plan(30), |_, _| (5, Fate::Done(record(1))));
    world.gateway.relay_candidates = vec![larger()];
    let caller = world.ask();
    let [Message::Relay(relayed)] = &world.sent[..] else {
        panic!("one message, not {:?}", world.sent);
    };
    let id = relayed.relay_id;
    let mut out = Vec::new();
    relay_answered(&mut world.gateway, world.now, id, None, true, &mut out);
    world.run(out);
    world.pass(6);
    assert_eq!(world.seen.len(), 30);
    let (_, response) = world.response(caller).expect("an answer");
    assert!(matches!(
        response,
        HttpResponse::Merged {
            missing_count: 0,
            ..
        }
    ));
}

/// What becomes of an instance that has started a query.
#[derive(Clone, Copy)]
enum End {
    Failed,
    Unreachable,
}

#[rstest]
#[case::failed(End::Failed)]
#[case::unreachable(End::Unreachable)]
fn a_query_that_the_larger_instance_has_run_ends_and_is_not_sent_again(#[case] end: End) {
    let mut world = world(&plan(30), |_, _| (5, Fate::Done(record(1))));
    world.gateway.relay_candidates = vec![larger()];
    let caller = world.ask();
    let [Message::Relay(relayed)] = &world.sent[..] else {
        panic!("one message, not {:?}", world.sent);
    };
    let id = relayed.relay_id;
    relay_taken(&mut world.gateway, id);
    world.pass(50);
    let mut out = Vec::new();
    match end {
        End::Failed => relay_answered(&mut world.gateway, world.now, id, None, false, &mut out),
        End::Unreachable => relay_unreachable(&mut world.gateway, world.now, larger(), &mut out),
    }
    world.run(out);
    // It may have asked as many targets of a service as the front allows.
    assert_eq!(world.seen.len(), 0);
    let (at_ms, response) = world.response(caller).expect("an end");
    assert_eq!(*at_ms, 50);
    assert!(matches!(
        response,
        HttpResponse::Ended {
            outcome: Outcome::Unknown(_),
            ..
        }
    ));
}

#[test]
fn queries_that_an_unreachable_instance_has_not_started_are_taken_back() {
    let mut world = world(&plan(30), |_, _| (5, Fate::Done(record(1))));
    world.gateway.relay_candidates = vec![larger()];
    let caller = world.ask();
    let mut out = Vec::new();
    relay_unreachable(&mut world.gateway, world.now, larger(), &mut out);
    world.run(out);
    world.pass(6);
    assert!(world.response(caller).is_some());
}

#[test]
fn a_caller_that_leaves_cancels_the_query_at_the_larger_instance() {
    let mut world = world(&plan(30), |_, _| (5, Fate::Done(record(1))));
    world.gateway.relay_candidates = vec![larger()];
    let caller = world.ask();
    world.leave(caller);
    assert!(matches!(world.sent[1], Message::RelayCancel { .. }));
}

#[test]
fn the_larger_instance_says_that_it_has_started_and_answers() {
    let mut world = world(&plan(30), |_, _| (5, Fate::Done(record(1))));
    let mut out = Vec::new();
    relayed(&mut world.gateway, world.now, &request(1), None, &mut out);
    world.run(out);
    assert!(matches!(world.sent[0], Message::RelayTaken { relay_id: 5 }));
    world.pass(6);
    assert!(matches!(
        &world.sent[1],
        Message::RelayAnswer { relay_id: 5, answer: Some(answer), .. } if answer.missing_count == 0
    ));
}

#[rstest]
#[case::another_version(2, None)]
#[case::leaving(1, Some(NotRunReason::Leaving))]
fn the_larger_instance_refuses_before_any_target_is_asked(
    #[case] version: u64,
    #[case] refusal: Option<NotRunReason>,
) {
    let mut world = world(&plan(30), |_, _| (5, Fate::Done(record(1))));
    let mut out = Vec::new();
    relayed(
        &mut world.gateway,
        world.now,
        &request(version),
        refusal,
        &mut out,
    );
    world.run(out);
    assert!(matches!(
        world.sent[..],
        [Message::RelayAnswer {
            relay_id: 5,
            answer: None,
            is_unsent: true
        }]
    ));
    assert!(world.seen.is_empty());
}

#[test]
fn a_cancelled_query_ends_at_the_larger_instance() {
    let mut world = world(&plan(30), |_, _| (0, Fate::Silence));
    let mut out = Vec::new();
    relayed(&mut world.gateway, world.now, &request(1), None, &mut out);
    relay_cancelled(&mut world.gateway, world.now, larger(), 5, &mut out);
    assert!(
        out.iter()
            .any(|effect| matches!(effect, Effect::Attempt(_)))
    );
    assert!(world.gateway.exchanges.is_empty());
}

#[rstest]
#[case::goal_over(0)]
#[case::goal_too_near(3)]
#[case::time_left(60)]
fn every_call_gets_enough_time_for_a_reply(#[case] goal_ms: u64) {
    let mut least = Duration::MAX;
    let mut world = world(&plan(30), |call, _| {
        least = least.min(call.timeout);
        (5, Fate::Done(record(1)))
    });
    // The usual time of a reply is known.
    world.ask();
    world.pass(100);
    let request = RelayedRequest {
        goal: Some(Duration::from_millis(goal_ms)),
        ..request(1)
    };
    let mut out = Vec::new();
    relayed(&mut world.gateway, world.now, &request, None, &mut out);
    world.run(out);
    world.pass(10);
    drop(world);
    assert!(least >= Duration::from_millis(5), "{least:?}");
}
