//! Queries over many services.

use model::{AttemptCall, CallFailure, HttpResponse, Outcome, ReplyStatus};
use rstest::rstest;

use super::fixture::{Fate, plan, record, world};
use crate::{greatest_records, paused};

/// Returns the missing services and the records' first bytes of a merged answer.
fn merged(response: &HttpResponse) -> (u32, Vec<u8>) {
    let HttpResponse::Merged {
        proofs,
        missing_count,
        body,
    } = response
    else {
        panic!("a merged answer, not {response:?}");
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
fn the_greatest_records_of_all_parts_are_merged() {
    let mut world = world(&plan(4), |call, _| (5, Fate::Done(record(shard(call)))));
    let caller = world.ask();
    world.pass(5);
    let (at_ms, response) = world.response(caller).expect("an answer");
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
fn a_remainder_is_no_record() {
    let mut body = record(1);
    body.extend_from_slice(&[9; 15]);
    assert_eq!(greatest_records([&body[..]].into_iter(), 5).len(), 16);
}

#[test]
fn at_the_goal_the_least_share_is_enough_and_the_rest_is_counted() {
    let mut world = world(&plan(4), |call, _| match shard(call) {
        3 => (0, Fate::Silence),
        _ => (5, Fate::Done(record(1))),
    });
    let caller = world.ask();
    world.pass(300);
    let (at_ms, response) = world.response(caller).expect("an answer");
    // The goal of 100 ms less what the answer needs on its way.
    assert_eq!(*at_ms, 86);
    assert_eq!(merged(response).0, 1);
}

#[test]
fn below_the_least_share_the_answer_waits_for_it_beyond_the_goal() {
    let mut world = world(&plan(4), |call, _| match shard(call) {
        2 => (200, Fate::Done(record(2))),
        3 => (0, Fate::Silence),
        _ => (5, Fate::Done(record(1))),
    });
    let caller = world.ask();
    world.pass(300);
    let (at_ms, response) = world.response(caller).expect("an answer");
    assert_eq!((*at_ms, merged(response).0), (200, 1));
}

#[test]
fn a_query_that_cannot_reach_its_least_share_ends_at_once() {
    let mut world = world(&plan(4), |call, _| match shard(call) {
        0 | 1 => (3, Fate::Says(ReplyStatus::Failed)),
        _ => (50, Fate::Done(record(1))),
    });
    let caller = world.ask();
    world.pass(20);
    let (at_ms, response) = world.response(caller).expect("an end");
    assert!(*at_ms < 10);
    assert!(matches!(
        response,
        HttpResponse::Ended {
            outcome: Outcome::Unknown(_),
            ..
        }
    ));
}

#[test]
fn a_query_that_reached_no_target_says_that_it_did_not_run() {
    let refused = CallFailure::ConnectRefused;
    let mut world = world(&plan(1), |_, _| (1, Fate::Fails(refused)));
    let caller = world.ask();
    world.pass(20);
    let (at_ms, response) = world.response(caller).expect("an end");
    assert!(*at_ms <= 4);
    let HttpResponse::Ended {
        outcome,
        retry_after,
    } = response
    else {
        panic!("an end, not {response:?}");
    };
    assert!(matches!(outcome, Outcome::NotRun(_)));
    assert!(retry_after.is_some());
}

#[test]
fn a_failed_part_is_asked_of_the_other_target() {
    let mut world = world(&plan(4), |call, _| {
        match (shard(call), call.target_id.ends_with("/a")) {
            (0, true) => (3, Fate::Fails(CallFailure::ConnectionLost)),
            _ => (5, Fate::Done(record(1))),
        }
    });
    for _ in 0..8 {
        let caller = world.ask();
        world.pass(50);
        let (_, response) = world.response(caller).expect("an answer");
        assert_eq!(merged(response).0, 0);
    }
}

#[test]
fn a_silent_target_costs_a_second_call_and_not_the_part() {
    let mut world = world(&plan(4), |call, at_ms| {
        let is_paused = at_ms >= 1_000 && &*call.target_id == "shard-0/a";
        match is_paused {
            true => (250, Fate::Done(record(1))),
            false => (8, Fate::Done(record(1))),
        }
    });
    for _ in 0..50 {
        world.ask();
        world.pass(20);
    }
    world.pass(50);
    for _ in 0..10 {
        let caller = world.ask();
        world.pass(90);
        let (_, response) = world.response(caller).expect("an answer");
        assert_eq!(merged(response).0, 0);
    }
    // Once it is known to be silent, the first call goes to the other target.
    let late = world.seen.iter().filter(|seen| seen.at_ms > 1_150);
    let silent = late.filter(|seen| seen.target == "shard-0/a").count();
    assert!(silent <= 6, "{silent} calls to a silent target");
}

#[test]
fn a_caller_that_leaves_ends_the_work_for_it() {
    let mut world = world(&plan(4), |_, _| (0, Fate::Silence));
    let caller = world.ask();
    world.pass(10);
    world.leave(caller);
    assert_eq!(world.gateway.exchanges.len(), 0);
    world.pass(200);
    world.tick();
    assert_eq!(world.dropped.len(), 0);
    world.pass(100);
    world.tick();
    assert_eq!(world.dropped.len(), 4);
    assert_eq!(world.gateway.attempts.len(), 0);
    assert_eq!(world.response(caller), None);
}

#[test]
fn a_target_that_has_swallowed_requests_is_avoided() {
    let mut world = world(&plan(4), |call, _| match &*call.target_id {
        "shard-0/a" => (0, Fate::Silence),
        _ => (5, Fate::Done(record(1))),
    });
    for _ in 0..40 {
        world.ask();
        for _ in 0..5 {
            world.pass(100);
            world.tick();
        }
    }
    let swallowed = world.seen.iter().filter(|seen| seen.target == "shard-0/a");
    let swallowed_count = swallowed.count();
    assert!(swallowed_count <= 14, "{swallowed_count} of 40 queries");
}

#[test]
fn silence_during_an_own_pause_says_nothing_about_targets() {
    let mut world = world(&plan(4), |_, _| (0, Fate::Silence));
    let caller = world.ask();
    world.pass(10);
    world.leave(caller);
    world.now += std::time::Duration::from_secs(3);
    paused(&mut world.gateway, world.now);
    world.tick();
    assert_eq!(world.dropped.len(), 4);
    let avoided = world
        .gateway
        .health
        .values()
        .filter(|health| health.backoff_until.is_some());
    assert_eq!(avoided.count(), 0);
}
