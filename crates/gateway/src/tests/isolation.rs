//! A network partition between availability zones, on the side with fewer targets.

use model::{AttemptCall, CallerKey, HttpResponse, NotRunReason, Outcome};

use super::fixture::{CallResult, Simulation, gathering_front, record, simulation};

/// Start of the partition.
const PARTITION_START_MS: u64 = 1_000;
/// End of the partition.
const PARTITION_END_MS: u64 = 6_000;

/// Two of four services lose both of their targets during the partition; an answer needs three.
fn partitioned_targets(call: &AttemptCall, at_ms: u64) -> (u64, CallResult) {
    let is_partitioned =
        call.target_id.starts_with("shard-0") || call.target_id.starts_with("shard-1");
    match is_partitioned && (PARTITION_START_MS..PARTITION_END_MS).contains(&at_ms) {
        true => (0, CallResult::NoReply),
        false => (5, CallResult::Done(record(1))),
    }
}

/// Sends a query every 40 ms and runs a tick every 200 ms; returns the queries' times and callers.
fn send_queries<F>(sim: &mut Simulation<F>, until_ms: u64) -> Vec<(u64, CallerKey)>
where
    F: FnMut(&AttemptCall, u64) -> (u64, CallResult),
{
    let mut sent = Vec::new();
    while sim.at_ms() < until_ms {
        if sim.at_ms().is_multiple_of(200) {
            sim.tick();
        }
        sent.push((sim.at_ms(), sim.send_request()));
        sim.advance(40);
    }
    sent
}

fn is_cut_off_refusal(response: &HttpResponse) -> bool {
    matches!(
        response,
        HttpResponse::Local {
            outcome: Outcome::NotRun(NotRunReason::CutOff),
            retry_after: Some(_),
        }
    )
}

#[test]
fn isolated_instance_refuses_requests_at_once() {
    let mut sim = simulation(&gathering_front(4), partitioned_targets);
    send_queries(&mut sim, PARTITION_START_MS);
    sim.gateway.is_cut_off = true;
    let before = send_queries(&mut sim, 1_800);
    assert!(sim.gateway.is_isolated);
    let sent_count = sim.attempts.len();
    let after = send_queries(&mut sim, 3_000);
    assert_eq!(
        sim.attempts.len(),
        sent_count,
        "an isolated instance has sent requests"
    );
    for (sent_at_ms, caller) in after {
        let (at_ms, response) = sim.response(caller).expect("no response");
        assert_eq!(*at_ms, sent_at_ms);
        assert!(is_cut_off_refusal(response), "{response:?}");
    }
    // Queries that are pending when the isolation is detected end before their deadline of 500 ms.
    let waited = before.iter().map(|&(sent_at_ms, caller)| {
        let (at_ms, _) = sim.response(caller).expect("no response");
        (sent_at_ms, at_ms - sent_at_ms)
    });
    let late: Vec<(u64, u64)> = waited.filter(|&(at, ms)| at >= 1_400 && ms > 400).collect();
    assert_eq!(late, []);
}

#[test]
fn unreachable_targets_alone_cause_no_isolation() {
    let mut sim = simulation(&gathering_front(4), partitioned_targets);
    send_queries(&mut sim, 3_000);
    assert!(!sim.gateway.is_isolated);
}

#[test]
fn cut_off_instance_with_enough_targets_keeps_serving() {
    let mut sim = simulation(&gathering_front(4), |_, _| (5, CallResult::Done(record(1))));
    sim.gateway.is_cut_off = true;
    let sent = send_queries(&mut sim, 2_000);
    assert!(!sim.gateway.is_isolated);
    for (_, caller) in sent {
        let (_, response) = sim.response(caller).expect("no response");
        assert!(matches!(
            response,
            HttpResponse::Merged {
                missing_count: 0,
                ..
            }
        ));
    }
}

#[test]
fn all_targets_are_used_again_after_the_partition() {
    let mut sim = simulation(&gathering_front(4), partitioned_targets);
    send_queries(&mut sim, PARTITION_START_MS);
    sim.gateway.is_cut_off = true;
    send_queries(&mut sim, PARTITION_END_MS);
    assert!(sim.gateway.is_isolated);
    sim.gateway.is_cut_off = false;
    sim.tick();
    assert!(!sim.gateway.is_isolated);
    for (_, caller) in send_queries(&mut sim, PARTITION_END_MS + 400) {
        sim.advance(100);
        let (_, response) = sim.response(caller).expect("no response");
        assert!(matches!(
            response,
            HttpResponse::Merged {
                missing_count: 0,
                ..
            }
        ));
    }
}

#[test]
fn silent_target_is_in_backoff_before_its_query_ends() {
    let mut front = gathering_front(1);
    front.timeout_ms = 4_000;
    let mut sim = simulation(&front, |call, at_ms| {
        match at_ms >= PARTITION_START_MS && call.target_id.ends_with("/a") {
            true => (0, CallResult::NoReply),
            false => (5, CallResult::Done(record(1))),
        }
    });
    send_queries(&mut sim, PARTITION_START_MS);
    // Without a retry budget, the first query that is sent to the silent target is not hedged.
    sim.gateway.settings.retry_ratio = 0.0;
    sim.gateway.settings.retry_constant_count = 0;
    send_queries(&mut sim, 1_600);
    let in_backoff = sim.gateway.health.values();
    let in_backoff = in_backoff.filter(|health| crate::is_in_backoff(health, sim.now));
    assert_eq!(in_backoff.count(), 1);
}
