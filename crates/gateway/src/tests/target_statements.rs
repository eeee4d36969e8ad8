//! What targets state about themselves in replies: that they leave, and for how long they want no
//! requests.

use std::time::Duration;

use model::{
    HttpResponse, NotRunReason, Outcome, Registration, ReplyStatus, StoreRecord, TargetReport,
};
use rstest::rstest;

use super::fixture::{
    CallResult, FrontSpec, gathering_front, record, registration, simulation, single_service_front,
};

const LEAVING: TargetReport = TargetReport {
    load: None,
    rate_limit_per_s: None,
    is_leaving: true,
    backoff: None,
};

fn paused(backoff: Duration) -> TargetReport {
    TargetReport {
        backoff: Some(backoff),
        ..TargetReport::default()
    }
}

/// Returns the registration of the first target, which the store still lists as ready.
fn first_target(born_ms: u64) -> StoreRecord {
    StoreRecord::Target {
        target_id: "shard-0/a".to_owned(),
        registration: Some(Registration {
            slots_count: 3,
            born_ms,
            ..registration("shard-0", 0, 0)
        }),
    }
}

#[rstest]
#[case::success(ReplyStatus::Done)]
#[case::failure(ReplyStatus::Failed)]
#[case::refusal(ReplyStatus::Shed)]
fn target_that_says_it_leaves_gets_nothing_new(#[case] status: ReplyStatus) {
    let mut sim = simulation(&single_service_front(true), move |call, at_ms| {
        match &*call.target_id == "shard-0/a" && at_ms < 10_000 {
            true => (5, CallResult::Stated(status, LEAVING)),
            false => (5, CallResult::Done(record(1))),
        }
    });
    while !sim
        .attempts
        .iter()
        .any(|attempt| attempt.target == "shard-0/a")
    {
        sim.send_request();
        sim.advance(50);
    }
    let before_count = sim.attempts.len();
    for _ in 0..40 {
        sim.send_request();
        sim.advance(50);
        // The store is behind and still lists it as ready.
        catalog::apply(&mut sim.gateway.catalog, sim.now, &first_target(1));
    }
    let later = &sim.attempts[before_count..];
    assert!(later.iter().all(|attempt| attempt.target == "shard-0/b"));
    sim.advance(10_000);
    catalog::apply(&mut sim.gateway.catalog, sim.now, &first_target(2));
    for _ in 0..40 {
        sim.send_request();
        sim.advance(50);
    }
    let is_used = sim.attempts[before_count..]
        .iter()
        .any(|attempt| attempt.target == "shard-0/a");
    assert!(is_used, "the next process gets no requests");
}

#[test]
fn target_that_asks_for_nothing_gets_nothing_until_its_backoff_is_over() {
    let backoff = Duration::from_millis(2_000);
    let mut sim = simulation(&single_service_front(true), move |call, at_ms| {
        match &*call.target_id == "shard-0/a" && at_ms < 1_000 {
            true => (5, CallResult::Stated(ReplyStatus::Shed, paused(backoff))),
            false => (60, CallResult::Done(record(1))),
        }
    });
    while !sim
        .attempts
        .iter()
        .any(|attempt| attempt.target == "shard-0/a")
    {
        sim.send_request();
        sim.advance(20);
    }
    let paused_at_ms = sim.at_ms();
    for _ in 0..200 {
        sim.send_request();
        sim.send_request();
        sim.advance(20);
    }
    let reached = sim
        .attempts
        .iter()
        .filter(|attempt| attempt.target == "shard-0/a");
    let reached_ms: Vec<u64> = reached.map(|attempt| attempt.at_ms).collect();
    let within = reached_ms
        .iter()
        .filter(|&&at_ms| at_ms > paused_at_ms + 5 && at_ms < paused_at_ms + 1_980);
    assert_eq!(within.count(), 0, "{reached_ms:?}");
    assert!(reached_ms.iter().any(|&at_ms| at_ms > paused_at_ms + 2_000));
}

#[test]
fn target_is_tried_with_one_request_at_a_time_after_its_backoff() {
    let backoff = Duration::from_millis(500);
    let front = FrontSpec {
        targets_per_service: 1,
        ..single_service_front(true)
    };
    let mut sim = simulation(&front, move |_, at_ms| match at_ms {
        0..100 => (5, CallResult::Stated(ReplyStatus::Shed, paused(backoff))),
        _ => (40, CallResult::Done(record(1))),
    });
    sim.send_request();
    sim.advance(700);
    let before_count = sim.attempts.len();
    for _ in 0..10 {
        sim.send_request();
    }
    assert_eq!(sim.attempts.len() - before_count, 1);
    sim.advance(2_000);
    let before_count = sim.attempts.len();
    for _ in 0..4 {
        sim.send_request();
    }
    assert_eq!(sim.attempts.len() - before_count, 4);
}

#[test]
fn request_is_refused_at_once_if_all_targets_want_nothing() {
    let backoff = Duration::from_secs(3);
    let mut sim = simulation(&single_service_front(true), move |_, _| {
        (5, CallResult::Stated(ReplyStatus::Shed, paused(backoff)))
    });
    sim.send_request();
    sim.advance(100);
    let caller = sim.send_request();
    let (_, response) = sim.response(caller).expect("an answer at once");
    let HttpResponse::Local {
        outcome: Outcome::NotRun(NotRunReason::RateLimited),
        retry_after: Some(retry_after),
    } = response
    else {
        panic!("{response:?}");
    };
    assert!(
        *retry_after >= Duration::from_millis(2_800),
        "{retry_after:?}"
    );
}

#[test]
fn query_does_without_the_parts_whose_targets_want_nothing() {
    let backoff = Duration::from_secs(3);
    let mut sim = simulation(&gathering_front(20), move |call, _| {
        match call.target_id.starts_with("shard-7/") {
            true => (1, CallResult::Stated(ReplyStatus::Shed, paused(backoff))),
            false => (5, CallResult::Done(record(1))),
        }
    });
    sim.send_request();
    sim.advance(200);
    let caller = sim.send_request();
    sim.advance(6);
    let (_, response) = sim.response(caller).expect("an answer before the goal");
    assert!(matches!(
        response,
        HttpResponse::Merged {
            missing_count: 1,
            ..
        }
    ));
}
