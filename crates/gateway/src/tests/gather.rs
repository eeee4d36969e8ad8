//! Queries on a front that gathers from many services.

use model::{AttemptCall, CallFailure, HttpResponse, Outcome, ReplyStatus};
use rstest::rstest;

use super::fixture::{CallResult, gathering_front, record, simulation};
use crate::{greatest_records, on_pause};

/// Returns the number of missing services and the first byte of each record of a merged response.
fn merged(response: &HttpResponse) -> (u32, Vec<u8>) {
    let HttpResponse::Merged {
        proofs,
        missing_count,
        body,
    } = response
    else {
        panic!("expected a merged response, got {response:?}");
    };
    assert!(!proofs.is_empty());
    let records = body.chunks_exact(16).map(|record| record[0]);
    (*missing_count, records.collect())
}

fn shard(call: &AttemptCall) -> u8 {
    let id = call.target_id.trim_start_matches("shard-");
    id.split('/')
        .next()
        .and_then(|n| n.parse().ok())
        .unwrap_or(0)
}

#[test]
fn greatest_records_of_all_parts_are_merged() {
    let mut sim = simulation(&gathering_front(4), |call, _| {
        (5, CallResult::Done(record(shard(call))))
    });
    let caller = sim.send_request();
    sim.advance(5);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert_eq!(*at_ms, 5);
    assert_eq!(merged(response), (0, vec![3, 2, 1]));
}

#[rstest]
#[case::in_order(&[vec![1, 2], vec![3]], 2, &[3, 2])]
#[case::equal_records_all_count(&[vec![2, 2], vec![2]], 3, &[2, 2, 2])]
#[case::fewer_than_wanted(&[vec![1]], 5, &[1])]
#[case::none(&[], 5, &[])]
fn records_are_compared_byte_by_byte(
    #[case] parts: &[Vec<u8>],
    #[case] count: u32,
    #[case] expected: &[u8],
) {
    let bodies: Vec<Vec<u8>> = parts
        .iter()
        .map(|part| part.iter().flat_map(|&first| record(first)).collect())
        .collect();
    let merged = greatest_records(bodies.iter().map(|body| &body[..]), count);
    let firsts: Vec<u8> = merged.chunks_exact(16).map(|record| record[0]).collect();
    assert_eq!(firsts, expected);
}

#[test]
fn partial_trailing_record_is_ignored() {
    let mut body = record(1);
    body.extend_from_slice(&[9; 15]);
    assert_eq!(greatest_records([&body[..]].into_iter(), 5).len(), 16);
}

#[test]
fn partial_answer_is_sent_at_the_goal() {
    let mut sim = simulation(&gathering_front(4), |call, _| match shard(call) {
        3 => (0, CallResult::NoReply),
        _ => (5, CallResult::Done(record(1))),
    });
    let caller = sim.send_request();
    sim.advance(300);
    let (at_ms, response) = sim.response(caller).expect("no response");
    // The goal of 100 ms minus the time reserved for sending the answer.
    assert_eq!(*at_ms, 86);
    assert_eq!(merged(response).0, 1);
}

#[test]
fn answer_waits_beyond_the_goal_for_the_minimum_of_parts() {
    let mut sim = simulation(&gathering_front(4), |call, _| match shard(call) {
        2 => (200, CallResult::Done(record(2))),
        3 => (0, CallResult::NoReply),
        _ => (5, CallResult::Done(record(1))),
    });
    let caller = sim.send_request();
    sim.advance(300);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert_eq!((*at_ms, merged(response).0), (200, 1));
}

#[test]
fn query_ends_once_the_minimum_of_parts_is_unattainable() {
    let mut sim = simulation(&gathering_front(4), |call, _| match shard(call) {
        0 | 1 => (3, CallResult::Status(ReplyStatus::Failed)),
        _ => (50, CallResult::Done(record(1))),
    });
    let caller = sim.send_request();
    sim.advance(20);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert!(*at_ms < 10);
    assert!(matches!(
        response,
        HttpResponse::Local {
            outcome: Outcome::Unknown(_),
            ..
        }
    ));
}

#[test]
fn query_without_reachable_target_is_reported_as_not_run() {
    let refused = CallFailure::ConnectRefused;
    let mut sim = simulation(&gathering_front(1), |_, _| {
        (1, CallResult::Failure(refused))
    });
    let caller = sim.send_request();
    sim.advance(20);
    let (at_ms, response) = sim.response(caller).expect("no response");
    assert!(*at_ms <= 4);
    let HttpResponse::Local {
        outcome,
        retry_after,
    } = response
    else {
        panic!("expected an end without a reply, got {response:?}");
    };
    assert!(matches!(outcome, Outcome::NotRun(_)));
    assert!(retry_after.is_some());
}

#[test]
fn failed_part_is_retried_at_the_other_target() {
    let mut sim = simulation(&gathering_front(4), |call, _| {
        match (shard(call), call.target_id.ends_with("/a")) {
            (0, true) => (3, CallResult::Failure(CallFailure::ConnectionLost)),
            _ => (5, CallResult::Done(record(1))),
        }
    });
    for _ in 0..8 {
        let caller = sim.send_request();
        sim.advance(50);
        let (_, response) = sim.response(caller).expect("no response");
        assert_eq!(merged(response).0, 0);
    }
}

#[test]
fn paused_target_is_hedged_and_its_part_not_lost() {
    let mut sim = simulation(&gathering_front(4), |call, at_ms| {
        let is_paused = at_ms >= 1_000 && &*call.target_id == "shard-0/a";
        match is_paused {
            true => (250, CallResult::Done(record(1))),
            false => (8, CallResult::Done(record(1))),
        }
    });
    for _ in 0..50 {
        sim.send_request();
        sim.advance(20);
    }
    sim.advance(50);
    for _ in 0..10 {
        let caller = sim.send_request();
        sim.advance(90);
        let (_, response) = sim.response(caller).expect("no response");
        assert_eq!(merged(response).0, 0);
    }
    // Once replies of the paused target are late, first attempts go to the other target.
    let late = sim.attempts.iter().filter(|attempt| attempt.at_ms > 1_150);
    let silent = late.filter(|attempt| attempt.target == "shard-0/a").count();
    assert!(silent <= 6, "{silent} attempts at a paused target");
}

#[test]
fn attempts_of_a_disconnected_caller_are_dropped_after_the_grace_period() {
    let mut sim = simulation(&gathering_front(4), |_, _| (0, CallResult::NoReply));
    let caller = sim.send_request();
    sim.advance(10);
    sim.disconnect(caller);
    assert_eq!(sim.gateway.exchanges.len(), 0);
    sim.advance(200);
    sim.tick();
    assert_eq!(sim.dropped_attempts.len(), 0);
    sim.advance(100);
    sim.tick();
    assert_eq!(sim.dropped_attempts.len(), 4);
    assert_eq!(sim.gateway.attempts.len(), 0);
    assert_eq!(sim.response(caller), None);
}

#[test]
fn target_without_replies_is_avoided() {
    let mut sim = simulation(&gathering_front(4), |call, _| match &*call.target_id {
        "shard-0/a" => (0, CallResult::NoReply),
        _ => (5, CallResult::Done(record(1))),
    });
    for _ in 0..40 {
        sim.send_request();
        for _ in 0..5 {
            sim.advance(100);
            sim.tick();
        }
    }
    let unanswered = sim
        .attempts
        .iter()
        .filter(|attempt| attempt.target == "shard-0/a");
    let unanswered_count = unanswered.count();
    assert!(
        unanswered_count <= 14,
        "{unanswered_count} attempts in 40 queries"
    );
}

#[test]
fn silence_during_a_pause_of_the_process_causes_no_backoff() {
    let mut sim = simulation(&gathering_front(4), |_, _| (0, CallResult::NoReply));
    let caller = sim.send_request();
    sim.advance(10);
    sim.disconnect(caller);
    sim.now += std::time::Duration::from_secs(3);
    on_pause(&mut sim.gateway, sim.now);
    sim.tick();
    assert_eq!(sim.dropped_attempts.len(), 4);
    let in_backoff = sim
        .gateway
        .health
        .values()
        .filter(|health| health.backoff_until.is_some());
    assert_eq!(in_backoff.count(), 0);
}
