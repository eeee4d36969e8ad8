//! Relaying of queries to a larger instance, from the side of either instance.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use model::{
    Effect, HttpRequest, HttpResponse, MergedAnswer, Message, NotRunReason, Outcome, RelayedRequest,
};
use rstest::rstest;

use super::fixture::{CallResult, gathering_front, record, relayed_exchange, simulation};
use crate::{
    RelayAnswer, on_relay_accepted, on_relay_answer, on_relay_cancel, on_relay_request,
    on_relay_unreachable,
};

const RELAY_ADDRESS: ([u8; 4], u16) = ([10, 0, 0, 9], 7000);

fn relay_address() -> SocketAddr {
    RELAY_ADDRESS.into()
}

fn answer() -> MergedAnswer {
    MergedAnswer {
        proofs: vec!["proof".into()],
        missing_count: 1,
        body: Bytes::from(record(7)),
    }
}

fn relayed_request(version: u64) -> RelayedRequest {
    RelayedRequest {
        reply_to: relay_address(),
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
        attempts_max_count: None,
    }
}

/// Returns an answer without results.
fn no_answer(is_unsent: bool) -> RelayAnswer<'static> {
    RelayAnswer {
        merged: None,
        is_unsent,
        is_unexecuted: is_unsent,
    }
}

#[test]
fn large_query_is_relayed_and_its_answer_passed_on() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    let caller = sim.send_request();
    let [Message::Relay(relayed)] = &sim.peer_messages[..] else {
        panic!("expected one relay message, got {:?}", sim.peer_messages);
    };
    assert!(
        relayed
            .goal
            .is_some_and(|goal| goal < Duration::from_millis(86))
    );
    let key = relayed_exchange(&sim.gateway, relayed.relay_id).expect("the query waits");
    on_relay_accepted(&mut sim.gateway, key, &mut Vec::new());
    sim.advance(40);
    assert!(sim.attempts.is_empty());
    let mut out = Vec::new();
    let merged = answer();
    let answer = RelayAnswer {
        merged: Some(&merged),
        is_unsent: false,
        is_unexecuted: false,
    };
    on_relay_answer(&mut sim.gateway, sim.now, key, &answer, &mut out);
    sim.apply_effects(out);
    let (_, response) = sim.response(caller).expect("no response");
    assert!(matches!(
        response,
        HttpResponse::Merged {
            missing_count: 1,
            ..
        }
    ));
}

#[test]
fn small_query_is_not_relayed() {
    let mut sim = simulation(&gathering_front(20), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    sim.send_request();
    assert!(sim.peer_messages.is_empty());
    assert_eq!(sim.attempts.len(), 20);
}

/// Guards against a dead connection to a relay, on which every query waits in vain for its
/// confirmation.
#[test]
fn relay_that_does_not_confirm_is_reported_as_unanswered() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    sim.send_request();
    assert!(sim.gateway.unanswered_peers.is_empty());
    sim.advance(40);
    let unanswered = sim.gateway.unanswered_peers.iter();
    assert_eq!(unanswered.collect::<Vec<_>>(), [&relay_address()]);
}

#[test]
fn unconfirmed_query_runs_locally_and_its_relay_backs_off() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    let first = sim.send_request();
    sim.advance(25);
    assert_eq!(sim.attempts.len(), 30);
    assert!(sim.response(first).is_some());
    assert!(matches!(sim.peer_messages[1], Message::RelayCancel { .. }));
    let second = sim.send_request();
    sim.advance(6);
    assert!(sim.response(second).is_some());
    assert_eq!(
        sim.peer_messages.len(),
        2,
        "query was relayed to an instance in backoff"
    );
}

#[test]
fn refused_query_runs_locally() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    let caller = sim.send_request();
    let [Message::Relay(relayed)] = &sim.peer_messages[..] else {
        panic!("expected one relay message, got {:?}", sim.peer_messages);
    };
    let key = relayed_exchange(&sim.gateway, relayed.relay_id).expect("the query waits");
    let mut out = Vec::new();
    on_relay_answer(&mut sim.gateway, sim.now, key, &no_answer(true), &mut out);
    sim.apply_effects(out);
    sim.advance(6);
    assert_eq!(sim.attempts.len(), 30);
    let (_, response) = sim.response(caller).expect("no response");
    assert!(matches!(
        response,
        HttpResponse::Merged {
            missing_count: 0,
            ..
        }
    ));
}

/// Failure of a relay that has confirmed a query.
#[derive(Clone, Copy)]
enum RelayFailure {
    NoAnswer,
    Unreachable,
}

#[rstest]
#[case::failed(RelayFailure::NoAnswer)]
#[case::unreachable(RelayFailure::Unreachable)]
fn confirmed_query_is_not_sent_again_after_its_relay_fails(#[case] failure: RelayFailure) {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    let caller = sim.send_request();
    let [Message::Relay(relayed)] = &sim.peer_messages[..] else {
        panic!("expected one relay message, got {:?}", sim.peer_messages);
    };
    let key = relayed_exchange(&sim.gateway, relayed.relay_id).expect("the query waits");
    on_relay_accepted(&mut sim.gateway, key, &mut Vec::new());
    sim.advance(50);
    let mut out = Vec::new();
    match failure {
        RelayFailure::NoAnswer => {
            on_relay_answer(&mut sim.gateway, sim.now, key, &no_answer(false), &mut out)
        }
        RelayFailure::Unreachable => {
            on_relay_unreachable(&mut sim.gateway, sim.now, relay_address(), &mut out)
        }
    }
    sim.apply_effects(out);
    // The relay may have sent the query to as many targets of a service as the front allows.
    assert_eq!(sim.attempts.len(), 0);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert_eq!(*at_ms, 50);
    assert!(matches!(
        response,
        HttpResponse::Local {
            outcome: Outcome::Unknown(_),
            ..
        }
    ));
}

#[test]
fn unconfirmed_query_of_an_unreachable_relay_runs_locally() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    let caller = sim.send_request();
    let mut out = Vec::new();
    on_relay_unreachable(&mut sim.gateway, sim.now, relay_address(), &mut out);
    sim.apply_effects(out);
    sim.advance(6);
    assert!(sim.response(caller).is_some());
}

#[test]
fn caller_disconnect_cancels_the_relayed_query() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    let caller = sim.send_request();
    sim.disconnect(caller);
    assert!(matches!(sim.peer_messages[1], Message::RelayCancel { .. }));
}

#[test]
fn relay_confirms_the_query_and_answers() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    let mut out = Vec::new();
    on_relay_request(
        &mut sim.gateway,
        sim.now,
        &relayed_request(1),
        None,
        &mut out,
    );
    sim.apply_effects(out);
    assert!(matches!(
        sim.peer_messages[0],
        Message::RelayTaken { relay_id: 5, .. }
    ));
    sim.advance(6);
    assert!(matches!(
        &sim.peer_messages[1],
        Message::RelayAnswer { relay_id: 5, answer: Some(answer), .. } if answer.missing_count == 0
    ));
}

#[rstest]
#[case::another_version(2, None)]
#[case::leaving(1, Some(NotRunReason::Leaving))]
fn relay_refuses_before_any_attempt(#[case] version: u64, #[case] refusal: Option<NotRunReason>) {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    let mut out = Vec::new();
    on_relay_request(
        &mut sim.gateway,
        sim.now,
        &relayed_request(version),
        refusal,
        &mut out,
    );
    sim.apply_effects(out);
    assert!(matches!(
        sim.peer_messages[..],
        [Message::RelayAnswer {
            relay_id: 5,
            answer: None,
            is_unsent: true,
            is_unexecuted: true,
            ..
        }]
    ));
    assert!(sim.attempts.is_empty());
}

#[test]
fn relay_runs_a_query_whose_message_arrives_twice_once() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    let mut out = Vec::new();
    for _ in 0..2 {
        let request = relayed_request(1);
        on_relay_request(&mut sim.gateway, sim.now, &request, None, &mut out);
    }
    sim.apply_effects(out);
    assert_eq!(sim.attempts.len(), 30);
    assert_eq!(sim.peer_messages.len(), 1);
}

#[test]
fn a_query_that_has_ended_waits_for_no_reply() {
    let mut sim = simulation(&gathering_front(30), |_, _| {
        (5, CallResult::Done(record(1)))
    });
    sim.gateway.relay_candidates = vec![relay_address()];
    let caller = sim.send_request();
    let [Message::Relay(relayed)] = &sim.peer_messages[..] else {
        panic!("expected one relay message, got {:?}", sim.peer_messages);
    };
    let number = relayed.relay_id;
    assert!(relayed_exchange(&sim.gateway, number).is_some());
    sim.disconnect(caller);
    assert!(relayed_exchange(&sim.gateway, number).is_none());
}

#[test]
fn cancelled_query_ends_at_the_relay() {
    let mut sim = simulation(&gathering_front(30), |_, _| (0, CallResult::NoReply));
    let mut out = Vec::new();
    on_relay_request(
        &mut sim.gateway,
        sim.now,
        &relayed_request(1),
        None,
        &mut out,
    );
    on_relay_cancel(&mut sim.gateway, sim.now, relay_address(), 5, &mut out);
    assert!(
        out.iter()
            .any(|effect| matches!(effect, Effect::Attempt(_)))
    );
    assert!(sim.gateway.exchanges.is_empty());
}

#[rstest]
#[case::goal_passed(0)]
#[case::goal_too_near(3)]
#[case::time_left(60)]
fn every_attempt_of_a_relay_has_enough_time_for_a_reply(#[case] goal_ms: u64) {
    let mut least = Duration::MAX;
    let mut sim = simulation(&gathering_front(30), |call, _| {
        least = least.min(call.timeout);
        (5, CallResult::Done(record(1)))
    });
    // A first query, so that the latency of the front is known.
    sim.send_request();
    sim.advance(100);
    let request = RelayedRequest {
        goal: Some(Duration::from_millis(goal_ms)),
        ..relayed_request(1)
    };
    let mut out = Vec::new();
    on_relay_request(&mut sim.gateway, sim.now, &request, None, &mut out);
    sim.apply_effects(out);
    sim.advance(10);
    drop(sim);
    assert!(least >= Duration::from_millis(5), "{least:?}");
}
